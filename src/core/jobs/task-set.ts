/**
 * A set of task numbers of one job, a bit each: jobs have up to 100,000 tasks, a dozen of them may wait at
 * once, and a Set takes some 40 bytes a number.
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
    const at = task >>> 5;
    if (at >= this.#words.length) this.#grow(at + 1);
    this.#words[at]! |= 1 << (task & 31);
    this.#size += 1;
    return this;
  }

  delete(task: number): boolean {
    if (!this.has(task)) return false;
    this.#words[task >>> 5]! &= ~(1 << (task & 31));
    this.#size -= 1;
    return true;
  }

  /** At least doubles, so that adding tasks one by one stays cheap. */
  #grow(words: number): void {
    const larger = new Uint32Array(Math.max(words, this.#words.length * 2));
    larger.set(this.#words);
    this.#words = larger;
  }

  /** The tasks in order of number. */
  *[Symbol.iterator](): Iterator<number> {
    for (const [at, word] of this.#words.entries()) {
      if (word === 0) continue;
      for (let bit = 0; bit < 32; bit++) if ((word & (1 << bit)) !== 0) yield at * 32 + bit;
    }
  }
}
