/** Tells from the outcomes of the calls whether the store is available to this node. */
import { CONSECUTIVE_FAILURES_LIMIT } from './constants.js';

/** Counts failures in a row; a single one may be due to the network. */
export class StoreAvailability {
  #consecutiveFailures = 0;
  #lastSuccessAt = -Infinity;

  /** steady ms of the last answer that shows the store working */
  get lastSuccessAt(): number {
    return this.#lastSuccessAt;
  }

  /** False during an outage, which may be one that only this node sees. */
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
