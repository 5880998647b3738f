/** A compact set of task numbers. */

/**
 * A set of task numbers of one job, stored as one bit per task. Jobs have up to 100,000 tasks and a dozen such jobs
 * may wait at once; a `Set` would take about 40 bytes per number.
 */
export class TaskSet implements Iterable<number> {
  #words = new Uint32Array(0);
  #size = 0;
  /** every word before this index is 0 */
  #firstWord = 0;

  get size(): number {
    return this.#size;
  }

  /** The smallest task number; undefined if the set is empty. Removing tasks in ascending order keeps this fast. */
  get first(): number | undefined {
    if (this.#size === 0) return undefined;
    while (this.#words[this.#firstWord] === 0) this.#firstWord += 1;
    const word = this.#words[this.#firstWord]!;
    return this.#firstWord * 32 + 31 - Math.clz32(word & -word);
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
    this.#firstWord = Math.min(this.#firstWord, wordIndex);
    return this;
  }

  delete(task: number): boolean {
    if (!this.has(task)) return false;
    this.#words[task >>> 5]! &= ~(1 << (task & 31));
    this.#size -= 1;
    return true;
  }

  clear(): void {
    this.#words = new Uint32Array(0);
    this.#size = 0;
    this.#firstWord = 0;
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
