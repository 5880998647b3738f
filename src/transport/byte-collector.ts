/** Collects the bytes of a message that arrives in chunks. */

const EMPTY = Buffer.alloc(0);

/**
 * Joins chunks into one buffer, whose capacity doubles when it is full. A message that arrives byte by byte takes work
 * in proportion to its length. A single chunk is not copied.
 */
export class ByteCollector {
  #buffer: Buffer = EMPTY;
  #length = 0;

  constructor(
    /** the buffer is made larger than this only for bytes that have arrived */
    private readonly maxCapacity: number,
  ) {}

  /** The bytes collected so far. The view is valid until the next call of `append`. */
  get bytes(): Buffer {
    return this.#buffer.subarray(0, this.#length);
  }

  get length(): number {
    return this.#length;
  }

  append(chunk: Buffer): void {
    const length = this.#length + chunk.length;
    if (this.#length === 0) this.#buffer = chunk;
    else {
      if (length > this.#buffer.length) this.#grow(length);
      chunk.copy(this.#buffer, this.#length);
    }
    this.#length = length;
  }

  /** Removes the first `count` bytes. */
  discard(count: number): void {
    this.#buffer = this.#buffer.subarray(count, this.#length);
    this.#length -= count;
  }

  #grow(length: number): void {
    const larger = Buffer.allocUnsafe(Math.max(length, Math.min(2 * length, this.maxCapacity)));
    this.bytes.copy(larger);
    this.#buffer = larger;
  }
}
