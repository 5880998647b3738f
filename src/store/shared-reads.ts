/** Reads of single keys, each shared by several requests. */
import { CALL_PRIORITY } from './call-priority.js';
import { READ_BATCH_WINDOW_MS } from './constants.js';
import type { StoreClient } from './store-client.js';
import type { ReadResult } from './types.js';

/**
 * Reads single keys as of a moment after each request. Requests for the same key share a read as long as it has not
 * been sent. A read that was sent before a request may return an older value, so the request needs a new one.
 */
export class SharedReads {
  /** reads that have not been sent yet, by key */
  readonly #unsent = new Map<string, Promise<ReadResult>>();

  constructor(private readonly client: Pick<StoreClient, 'get'>) {}

  /** Returns the key's value as of a moment after the call. */
  read(key: string): Promise<ReadResult> {
    const unsent = this.#unsent.get(key);
    if (unsent !== undefined) return unsent;
    const batchWindow = new Promise<void>((resolve) => setTimeout(resolve, READ_BATCH_WINDOW_MS));
    const read = batchWindow.then(() => {
      this.#unsent.delete(key);
      return this.client.get(key, CALL_PRIORITY.read);
    });
    this.#unsent.set(key, read);
    return read;
  }
}
