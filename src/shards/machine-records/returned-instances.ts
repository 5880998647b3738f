/** Memory of the machines that the cloud has taken back: late lists and heartbeats must not bring them back. */
import { RETURNED_INSTANCES_LIMIT } from './constants.js';

/** Names of returned machines; the oldest are forgotten first. */
export class ReturnedInstances {
  /** the latest last */
  readonly #names = new Set<string>();
  /** those whose records still have to be removed */
  readonly #recorded = new Set<string>();

  /** The cloud has confirmed that these are gone. */
  add(names: readonly string[]): void {
    for (const name of names) {
      this.#names.add(name);
      this.#recorded.add(name);
    }
    for (const name of this.#names) {
      if (this.#names.size <= RETURNED_INSTANCES_LIMIT) break;
      this.#names.delete(name);
    }
  }

  has(name: string): boolean {
    return this.#names.has(name);
  }

  /** Visits the machines that are still in `records`; those that are not need no further visit. */
  forEachRecorded(records: ReadonlyMap<string, unknown>, visit: (name: string) => void): void {
    for (const name of this.#recorded) {
      if (records.has(name)) visit(name);
      else this.#recorded.delete(name);
    }
  }
}
