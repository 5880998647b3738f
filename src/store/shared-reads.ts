import { READ_BATCH_WINDOW_MS } from './constants.js';
import { CALL_PRIORITY, type Found, type StoreClient } from './store-client.js';

/**
 * Current reads, shared: requests that come in while a read of the same key has not left yet join
 * it. A read that has already left may be older than the request and serves it no more.
 */
export class SharedReads {
  readonly #next = new Map<string, Promise<Found>>();

  constructor(private readonly client: Pick<StoreClient, 'get'>) {}

  read(key: string): Promise<Found> {
    const open = this.#next.get(key);
    if (open !== undefined) return open;
    const promise = new Promise<void>((resolve) => setTimeout(resolve, READ_BATCH_WINDOW_MS)).then(
      () => {
        this.#next.delete(key);
        return this.client.get(key, CALL_PRIORITY.read);
      },
    );
    this.#next.set(key, promise);
    return promise;
  }
}
