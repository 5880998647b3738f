/** The stored retention clock, which the leader of garbage collection advances. */
import {
  EMPTY_RETENTION,
  fencedCompareAndSwap,
  observeElapsed,
  type Authorization,
  type RetentionRecord,
} from '@sumacstep/leader-election';
import { MAX_RELATIVE_CLOCK_DRIFT } from '../constants.js';
import { electionEntryKey } from '../store/keys.js';
import { CALL_PRIORITY } from '../store/call-priority.js';
import { type StoreClient } from '../store/store-client.js';
import type { WatchCache } from '../store/watch-cache.js';
import { RETENTION_INTERVAL_SHARE, RETENTION_WRITE_INTERVAL_MS } from './constants.js';

/** The services that the process provides to the retention clock. */
export interface RetentionClockDependencies {
  readonly client: Pick<StoreClient, 'compareAndSwap'>;
  readonly cache: WatchCache;
  /** reads the monotonic clock, ms */
  readonly now: () => number;
}

/** A leadership, and the moment up to which its elapsed time has been added to the stored record. */
interface Observation {
  readonly fencingToken: number;
  /** monotonic ms */
  readonly until: number;
}

/** Adds the time during which this node leads to the stored record. */
export class RetentionClock {
  #observation: Observation | null = null;

  constructor(
    /** time for which values are retained */
    private readonly retentionMs: number,
    private readonly dependencies: RetentionClockDependencies,
  ) {}

  /**
   * Adds the elapsed time to the stored record if a write is due. Resolves with the new record; null if no write was
   * due or the write was rejected.
   */
  async advance(authorization: Authorization): Promise<RetentionRecord | null> {
    const { cache, now: monotonicNow } = this.dependencies;
    const now = monotonicNow();
    const { fencingToken } = authorization;
    if (this.#observation?.fencingToken !== fencingToken) {
      this.#observation = { fencingToken, until: now };
    }
    const elapsedMs = now - this.#observation.until;
    const stored = cache.tables.elections.get('retention');
    const previous = stored?.value.kind === 'retention' ? stored.value.retention : EMPTY_RETENTION;
    if (stored !== undefined && elapsedMs < this.#writeIntervalMs()) return null;
    const options = { retentionMs: this.retentionMs, clockDrift: MAX_RELATIVE_CLOCK_DRIFT };
    const record = observeElapsed(previous, elapsedMs, cache.revision, options);
    if (!(await this.#write(authorization, record, stored?.revision ?? 0))) return null;
    this.#observation = { fencingToken, until: now };
    return record;
  }

  #writeIntervalMs(): number {
    return Math.min(RETENTION_WRITE_INTERVAL_MS, this.retentionMs * RETENTION_INTERVAL_SHARE);
  }

  async #write(
    authorization: Authorization,
    value: RetentionRecord,
    revision: number,
  ): Promise<boolean> {
    const { client, cache } = this.dependencies;
    const key = electionEntryKey.retention;
    const writes = [{ put: key, value }];
    const guards = [{ key, revision }];
    const outcome = await fencedCompareAndSwap(
      client,
      authorization,
      CALL_PRIORITY.background,
      guards,
      writes,
    );
    if (outcome.ok) cache.applyOwnWrites(writes, outcome.epoch);
    return outcome.ok;
  }
}
