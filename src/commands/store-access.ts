import { setTimeout as sleep } from 'node:timers/promises';
import pino from 'pino';
import { steadyMs } from '../clock.js';
import type { PlatformConfig } from '../config/platform.js';
import { STORE_RETRY_MS } from '../store/constants.js';
import { StoreClient } from '../store/store-client.js';
import { StoreRequestError } from '../store/errors.js';
import type { CachedPrefix } from '../store/keys.js';
import { listPrefixes } from '../store/watch.js';
import { WatchCache } from '../store/watch-cache.js';
import { CommandError, EXIT } from './exit-codes.js';

/** share of the state service's limits for a command: controllers may leave that much (`request_share`) */
const COMMAND_SHARE = 0.1;
/** tries of a call; a controller's burst may have used up the limit of the moment */
const TRIES = 3;

/** The state service as a command reaches it. */
export class StoreAccess {
  readonly client: StoreClient;

  constructor(config: PlatformConfig) {
    const { rps, writeRps, next } = config.storeLimits;
    const share = (limits: { rps: number; writeRps: number }) => ({
      rps: Math.max(1, limits.rps * COMMAND_SHARE),
      writeRps: Math.max(1, limits.writeRps * COMMAND_SHARE),
    });
    const limits = { ...share({ rps, writeRps }), next: share(next) };
    const log = pino({ level: 'silent' });
    this.client = new StoreClient(config.store, limits, config.storeLimits, steadyMs, log);
  }

  /** Repeats a call that was refused; a `CommandError` says that the state service can't be reached. */
  async attempt<T>(call: () => Promise<T>): Promise<T> {
    for (let tries = 1; ; tries++) {
      try {
        return await call();
      } catch (error) {
        if (!(error instanceof StoreRequestError)) throw error;
        if (tries >= TRIES || error.kind === 'invalid') {
          throw new CommandError(EXIT.unavailable, `the state service: ${error.message}`);
        }
        await sleep(STORE_RETRY_MS);
      }
    }
  }

  /** What stands under some prefixes now, read for this call alone. */
  async read(prefixes: readonly CachedPrefix[]): Promise<WatchCache> {
    const listing = await this.attempt(() => listPrefixes(this.client, prefixes));
    const cache = new WatchCache();
    cache.apply(listing);
    return cache;
  }

  close(): void {
    this.client.close();
  }
}
