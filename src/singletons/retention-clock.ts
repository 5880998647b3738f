/** The stored retention clock, which the leader of garbage collection keeps going. */
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

/** What the retention clock needs of the process. */
export interface RetentionClockDependencies {
  readonly client: Pick<StoreClient, 'compareAndSwap'>;
  readonly cache: WatchCache;
  /** the steady clock, ms */
  readonly now: () => number;
}

/** A leadership, and the moment up to which its observed time is written. */
interface Observation {
  readonly fencingToken: number;
  /** steady ms */
  readonly until: number;
}

/** Adds the time that this node observes while it leads to the stored record. */
export class RetentionClock {
  #observation: Observation | null = null;

  constructor(
    /** ms that values are retained */
    private readonly keepMs: number,
    private readonly dependencies: RetentionClockDependencies,
  ) {}

  /** Writes the observed time if that is due; null if it is not due, or if the leadership has ended. */
  async advance(authorization: Authorization): Promise<RetentionRecord | null> {
    const { cache, now: steadyMs } = this.dependencies;
    const now = steadyMs();
    const { fencingToken } = authorization;
    if (this.#observation?.fencingToken !== fencingToken) {
      this.#observation = { fencingToken, until: now };
    }
    const passedMs = now - this.#observation.until;
    const stored = cache.tables.elections.get('retention');
    const previous = stored?.value.kind === 'retention' ? stored.value.retention : EMPTY_RETENTION;
    if (stored !== undefined && passedMs < this.#writeIntervalMs()) return null;
    const options = { keepMs: this.keepMs, clockDrift: MAX_RELATIVE_CLOCK_DRIFT };
    const record = observeElapsed(previous, passedMs, cache.revision, options);
    if (!(await this.#write(authorization, record, stored?.revision ?? 0))) return null;
    this.#observation = { fencingToken, until: now };
    return record;
  }

  #writeIntervalMs(): number {
    return Math.min(RETENTION_WRITE_INTERVAL_MS, this.keepMs * RETENTION_INTERVAL_SHARE);
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
    if (outcome.ok) cache.applyOwn(writes, outcome.epoch);
    return outcome.ok;
  }
}
