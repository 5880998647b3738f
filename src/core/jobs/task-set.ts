/** A compact set of task numbers. */

/**
 * A set of task numbers of one job, stored as one bit per task. Jobs have up to 100,000 tasks and a dozen such jobs
 * may wait at once; a `Set` would take about 40 bytes per number.
 */
export class TaskSet implements Iterable<number> {
  #words = new Uint32Array(0);
  #size = 0;

  get size(): number {
    return this.#size;
  }

  has(task: number): boolean {
    return ((this.#words[task >>> 5] ?? 0) & (1 << (task & 31))) !== 0;
  }

  add(task: number): this {
    if (this.has(task)) return this;
    const wordIndex = task >>> 5;
    if (wordIndex >= this.#words.length) this.#grow(wordIndex + 1);
    this.#words[wordIndex]! |= 1 << (task & 31);
    this.#size += 1;
    return this;
  }

  delete(task: number): boolean {
    if (!this.has(task)) return false;
    this.#words[task >>> 5]! &= ~(1 << (task & 31));
    this.#size -= 1;
    return true;
  }

  /** Grows to at least twice the size, so that adding tasks one by one takes amortised constant time. */
  #grow(minimumWords: number): void {
    const larger = new Uint32Array(Math.max(minimumWords, this.#words.length * 2));
    larger.set(this.#words);
    this.#words = larger;
  }

  /** Yields the task numbers in ascending order. */
  *[Symbol.iterator](): Iterator<number> {
    for (const [wordIndex, word] of this.#words.entries()) {
      if (word === 0) continue;
      for (let bit = 0; bit < 32; bit++) {
        if ((word & (1 << bit)) !== 0) yield wordIndex * 32 + bit;
      }
    }
  }
}
