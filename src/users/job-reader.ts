import type { JobRecord } from '../core/model.js';
import type { StoreClient } from '../store/store-client.js';
import { storeKey } from '../store/keys.js';
import type { FinalState } from '../store/codecs/final-state.js';
import type { LinearizableReads } from '../store/linearizable-reads.js';
import { SharedReads } from '../store/shared-reads.js';
import type { WatchCache } from '../store/watch-cache.js';

/** What the service knows of a job. */
export type JobAnswer =
  | { readonly kind: 'active'; readonly job: JobRecord; readonly revision: number }
  | { readonly kind: 'final'; readonly final: FinalState }
  | { readonly kind: 'missing' };

/** A job's state, and since when it is current: whatever was committed before that moment is in it. */
export interface JobReading {
  readonly answer: JobAnswer;
  /** steady ms; Infinity for a final state, which never changes */
  readonly currentSince: number;
}

/** A final state is current whenever it was read. */
export const finalReading = (final: FinalState): JobReading => ({
  answer: { kind: 'final', final },
  currentSince: Infinity,
});

/**
 * Reads the present state of jobs, and decides whether a reading may be told to a user. An answer is
 * never older than one that any node gave before the request came in: it is final, or rests on a read
 * that began after the request's arrival.
 */
export class JobReader {
  readonly #finalStateReads: SharedReads;

  constructor(
    client: Pick<StoreClient, 'get'>,
    private readonly cache: WatchCache,
    private readonly linearizable: Pick<LinearizableReads, 'waitUntilCurrent'>,
  ) {
    this.#finalStateReads = new SharedReads(client);
  }

  /** The job's final state if it is known here: that needs no read, not even in an outage. */
  knownFinalState(uid: string): FinalState | undefined {
    return this.cache.finalStates.get(uid);
  }

  /**
   * The present state. The cache is brought up to date first; a job that is not active there has
   * ended or never was, since the move from active to final is one transaction.
   */
  async read(uid: string): Promise<JobReading> {
    const before = this.knownFinalState(uid);
    if (before !== undefined) return finalReading(before);
    const currentSince = await this.linearizable.waitUntilCurrent();
    const active = this.cache.tables.activeJobs.get(uid);
    if (active !== undefined) {
      const { value: job, revision } = active;
      return { answer: { kind: 'active', job, revision }, currentSince };
    }
    const shown = this.knownFinalState(uid);
    if (shown !== undefined) return finalReading(shown);
    const found = await this.#finalStateReads.read(storeKey.finalState(uid));
    if ('missing' in found) return { answer: { kind: 'missing' }, currentSince };
    return finalReading(this.cache.recordFinalState(uid, found.value, found.revision));
  }

  /**
   * What a user whose request came in at `arrivedAt` (steady ms) may be told: a final state known by
   * now, else the reading. Null if the reading is older than the request: another node may have told
   * the user something newer in between.
   */
  answerIfCurrent(uid: string, reading: JobReading, arrivedAt: number): JobAnswer | null {
    const final = this.knownFinalState(uid);
    if (final !== undefined) return { kind: 'final', final };
    return reading.currentSince >= arrivedAt ? reading.answer : null;
  }
}
