/** Derives from the outcomes of calls whether the store is available to this node. */
import { CONSECUTIVE_FAILURES_LIMIT } from './constants.js';

/** Counts consecutive failures; a single failure may be due to the network. */
export class StoreAvailability {
  #consecutiveFailures = 0;
  #lastSuccessAt = -Infinity;

  /** Monotonic-clock time in ms of the last answer that shows the store to be working. */
  get lastSuccessAt(): number {
    return this.#lastSuccessAt;
  }

  /** False during an outage; the outage may affect this node only. */
  get available(): boolean {
    return this.#consecutiveFailures < CONSECUTIVE_FAILURES_LIMIT;
  }

  recordSuccess(now: number): void {
    this.#lastSuccessAt = now;
    this.#consecutiveFailures = 0;
  }

  recordFailure(): void {
    this.#consecutiveFailures += 1;
  }
}
