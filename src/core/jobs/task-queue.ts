/** The waiting tasks of a job in the order in which they will be placed. */
import { TaskSet } from './task-set.js';

/**
 * A queue of task numbers without duplicates. Tasks that have never been placed come first, in ascending order, then
 * those that were placed before, in the order in which they were returned. Each operation takes constant time on
 * average, and a task that was never placed takes one bit.
 */
export class TaskQueue implements Iterable<number> {
  readonly #ascending = new TaskSet();
  readonly #returned = new Set<number>();

  get size(): number {
    return this.#ascending.size + this.#returned.size;
  }

  /** The task that will be placed next; undefined if the queue is empty. */
  get first(): number | undefined {
    return this.#ascending.first ?? this.#returned.values().next().value;
  }

  has(task: number): boolean {
    return this.#ascending.has(task) || this.#returned.has(task);
  }

  /** Adds a task at its place in the ascending order. */
  add(task: number): void {
    this.#returned.delete(task);
    this.#ascending.add(task);
  }

  /** Adds a task behind all others. */
  addLast(task: number): void {
    if (!this.has(task)) this.#returned.add(task);
  }

  /** Removes a task. Returns whether the queue held it. */
  delete(task: number): boolean {
    return this.#ascending.delete(task) || this.#returned.delete(task);
  }

  /** Puts all tasks into ascending order. */
  sort(): void {
    for (const task of this.#returned) this.#ascending.add(task);
    this.#returned.clear();
  }

  clear(): void {
    this.#ascending.clear();
    this.#returned.clear();
  }

  *[Symbol.iterator](): Iterator<number> {
    yield* this.#ascending;
    yield* this.#returned;
  }
}
