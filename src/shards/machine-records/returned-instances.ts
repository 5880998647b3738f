/**
 * Remembers machines that were returned to the cloud, so that outdated machine lists and late heartbeats do not make
 * them look like machines without a record.
 */
import { RETURNED_INSTANCES_LIMIT } from './constants.js';

/** The names of returned machines. Beyond `RETURNED_INSTANCES_LIMIT` names, the oldest are forgotten first. */
export class ReturnedInstances {
  /** in the order of their return */
  readonly #names = new Set<string>();
  /** returned machines that may still be in a record */
  readonly #maybeRecorded = new Set<string>();

  /** Adds machines whose return the cloud has confirmed. */
  add(names: readonly string[]): void {
    for (const name of names) {
      this.#names.add(name);
      this.#maybeRecorded.add(name);
    }
    for (const name of this.#names) {
      if (this.#names.size <= RETURNED_INSTANCES_LIMIT) break;
      this.#names.delete(name);
    }
  }

  has(name: string): boolean {
    return this.#names.has(name);
  }

  /** Visits the returned machines that are still in `records`. Those that are not are never visited again. */
  forEachRecorded(records: ReadonlyMap<string, unknown>, visit: (name: string) => void): void {
    for (const name of this.#maybeRecorded) {
      if (records.has(name)) visit(name);
      else this.#maybeRecorded.delete(name);
    }
  }
}
