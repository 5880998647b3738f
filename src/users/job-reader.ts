/** Linearizable reads of the state of jobs, for answers to users. */
import type { JobRecord } from '../core/model.js';
import type { StoreClient } from '../store/store-client.js';
import { storeKey } from '../store/keys.js';
import type { FinalState } from '../store/codecs/final-state.js';
import type { LinearizableReads } from '../store/linearizable-reads.js';
import { SharedReads } from '../store/shared-reads.js';
import type { WatchCache } from '../store/watch-cache.js';

/** State of a job: active, ended (`final`), or unknown to the store (`missing`). */
export type JobAnswer =
  | { readonly kind: 'active'; readonly job: JobRecord; readonly revision: number }
  | { readonly kind: 'final'; readonly final: FinalState }
  | { readonly kind: 'missing' };

/** State of a job together with the time as of which it is current. */
export interface JobReading {
  readonly answer: JobAnswer;
  /**
   * monotonic ms; the reading includes everything that was committed before this time. Infinity for a final state,
   * which never changes.
   */
  readonly currentSince: number;
}

/** Returns the reading of a final state, which is current no matter when it was read. */
export const finalReading = (final: FinalState): JobReading => ({
  answer: { kind: 'final', final },
  currentSince: Infinity,
});

/**
 * Reads the current state of jobs and decides whether a reading may be returned to a user. An answer is never older
 * than any answer that a node gave before the request arrived: it is final, or based on a read that began after the
 * request arrived.
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

  /** Returns the job's final state if it is in memory, which needs no read and so also works in an outage. */
  knownFinalState(uid: string): FinalState | undefined {
    return this.cache.finalStates.get(uid);
  }

  /**
   * Reads the current state of a job. The cache is brought up to date first. A job that is then not active in it has
   * ended or never existed, since one transaction removes the active job and writes its final state.
   */
  async read(uid: string): Promise<JobReading> {
    const known = this.knownFinalState(uid);
    if (known !== undefined) return finalReading(known);
    const currentSince = await this.linearizable.waitUntilCurrent();
    const active = this.cache.tables.activeJobs.get(uid);
    if (active !== undefined) {
      const { value: job, revision } = active;
      return { answer: { kind: 'active', job, revision }, currentSince };
    }
    const ended = this.knownFinalState(uid);
    if (ended !== undefined) return finalReading(ended);
    const found = await this.#finalStateReads.read(storeKey.finalState(uid));
    if ('missing' in found) return { answer: { kind: 'missing' }, currentSince };
    return finalReading(this.cache.recordFinalState(uid, found.value, found.revision));
  }

  /**
   * Returns the answer to a request that arrived at `arrivedAt`, monotonic ms: a final state that is known by now,
   * otherwise the reading. Null if the reading is older than the request, since another node may have given the user
   * a newer answer before the request.
   */
  answerIfCurrent(uid: string, reading: JobReading, arrivedAt: number): JobAnswer | null {
    const final = this.knownFinalState(uid);
    if (final !== undefined) return { kind: 'final', final };
    return reading.currentSince >= arrivedAt ? reading.answer : null;
  }
}
