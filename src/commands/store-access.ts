/** The store as the operator's commands reach it. */
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

/** share of the store's rate limits that a command may use: controllers leave that much (`request_share`) */
const COMMAND_RATE_SHARE = 0.1;
/** attempts of a call; a controller's burst may have used up the rate limit */
const MAX_ATTEMPTS = 3;

/** A store client for one command. */
export class StoreAccess {
  readonly client: StoreClient;

  constructor(config: PlatformConfig) {
    const { rps, writeRps, next } = config.storeLimits;
    const share = (limits: { rps: number; writeRps: number }) => ({
      rps: Math.max(1, limits.rps * COMMAND_RATE_SHARE),
      writeRps: Math.max(1, limits.writeRps * COMMAND_RATE_SHARE),
    });
    const limits = { ...share({ rps, writeRps }), next: share(next) };
    const log = pino({ level: 'silent' });
    this.client = new StoreClient(config.store, limits, config.storeLimits, steadyMs, log);
  }

  /** Repeats a call that failed; rejects with a `CommandError` (unavailable) once the attempts are used up. */
  async callWithRetries<T>(call: () => Promise<T>): Promise<T> {
    for (let attempt = 1; ; attempt++) {
      try {
        return await call();
      } catch (error) {
        if (!(error instanceof StoreRequestError)) throw error;
        if (attempt >= MAX_ATTEMPTS || error.kind === 'invalid') {
          throw new CommandError(EXIT.unavailable, `the state service: ${error.message}`, {
            cause: error,
          });
        }
        await sleep(STORE_RETRY_MS);
      }
    }
  }

  /** What the store holds under the prefixes now. */
  async readPrefixes(prefixes: readonly CachedPrefix[]): Promise<WatchCache> {
    const listing = await this.callWithRetries(() => listPrefixes(this.client, prefixes));
    const cache = new WatchCache();
    cache.apply(listing);
    return cache;
  }

  /** Closes the client's sockets. */
  close(): void {
    this.client.close();
  }
}
