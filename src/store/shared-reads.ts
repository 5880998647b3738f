/** Reads of single keys that several requests share. */
import { CALL_PRIORITY } from './call-priority.js';
import { READ_BATCH_WINDOW_MS } from './constants.js';
import type { StoreClient } from './store-client.js';
import type { ReadResult } from './types.js';

/**
 * Current reads, shared: requests join a read of the same key that has not been sent yet. A read that has
 * been sent may be older than the request, and serves it no more.
 */
export class SharedReads {
  /** reads that have not been sent, by key */
  readonly #unsent = new Map<string, Promise<ReadResult>>();

  constructor(private readonly client: Pick<StoreClient, 'get'>) {}

  /** Reads a key as of a moment after the call. */
  read(key: string): Promise<ReadResult> {
    const unsent = this.#unsent.get(key);
    if (unsent !== undefined) return unsent;
    const window = new Promise<void>((resolve) => setTimeout(resolve, READ_BATCH_WINDOW_MS));
    const read = window.then(() => {
      this.#unsent.delete(key);
      return this.client.get(key, CALL_PRIORITY.read);
    });
    this.#unsent.set(key, read);
    return read;
  }
}
