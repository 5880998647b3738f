/** Access to the store for the operator's commands. */
import { setTimeout as sleep } from 'node:timers/promises';
import pino from 'pino';
import { monotonicMs } from '../clock.js';
import type { PlatformConfig } from '../config/platform.js';
import { STORE_RETRY_MS } from '../store/constants.js';
import { StoreClient } from '../store/store-client.js';
import { StoreRequestError } from '../store/errors.js';
import type { CachedPrefix } from '../store/keys.js';
import { listPrefixes } from '../store/watch.js';
import { WatchCache } from '../store/watch-cache.js';
import { CommandError, EXIT } from './exit-codes.js';

/** share of the store's rate limits that a command may use; controllers leave as much by their default `request_share` */
const COMMAND_RATE_SHARE = 0.1;
/** attempts of a call; a burst of a controller's requests may have used up the rate limit */
const MAX_ATTEMPTS = 3;

/** A store client for the duration of one command. */
export class StoreAccess {
  readonly client: StoreClient;

  constructor(config: PlatformConfig) {
    const { rps, writeRps, next } = config.storeLimits;
    const scaledLimits = (limits: { rps: number; writeRps: number }) => ({
      rps: Math.max(1, limits.rps * COMMAND_RATE_SHARE),
      writeRps: Math.max(1, limits.writeRps * COMMAND_RATE_SHARE),
    });
    const limits = { ...scaledLimits({ rps, writeRps }), next: scaledLimits(next) };
    const log = pino({ level: 'silent' });
    this.client = new StoreClient(config.store, limits, config.storeLimits, monotonicMs, log);
  }

  /**
   * Makes a call and retries it if it fails. Rejects with a `CommandError` (`unavailable`) after the last attempt, or at
   * once if the request is invalid.
   */
  async callWithRetries<T>(call: () => Promise<T>): Promise<T> {
    for (let attemptNumber = 1; ; attemptNumber++) {
      try {
        return await call();
      } catch (error) {
        if (!(error instanceof StoreRequestError)) throw error;
        if (attemptNumber >= MAX_ATTEMPTS || error.kind === 'invalid') {
          throw new CommandError(EXIT.unavailable, `the state service: ${error.message}`, {
            cause: error,
          });
        }
        await sleep(STORE_RETRY_MS);
      }
    }
  }

  /** Reads all keys with the given prefixes into a new cache. */
  async readPrefixes(prefixes: readonly CachedPrefix[]): Promise<WatchCache> {
    const listing = await this.callWithRetries(() => listPrefixes(this.client, prefixes));
    const cache = new WatchCache();
    cache.apply(listing);
    return cache;
  }

  /** Closes all connections to the store. */
  close(): void {
    this.client.close();
  }
}
