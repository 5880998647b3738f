/** Linearizable reads from the watch cache: it answers once it is as current as a read of the store would be. */
import { USER_REQUEST_TIMEOUT_MS } from '../constants.js';
import { CALL_PRIORITY } from './call-priority.js';
import { WATCH_PROBE_DELAY_MS } from './constants.js';
import { StoreRequestError } from './errors.js';
import { storeKey } from './keys.js';
import type { StoreClient } from './store-client.js';
import type { WatchCache } from './watch-cache.js';

/** Time in ms after which the user's request has been refused in any case. */
const MAX_WAIT_MS = 2 * USER_REQUEST_TIMEOUT_MS;

/** A request that waits for the cache. */
interface Reader {
  /** monotonic-clock time of the request in ms */
  readonly requestedAt: number;
  /** the store's revision as found by a probe that was sent after the request; null while there is none */
  probedRevision: number | null;
  readonly resolve: (currentSince: number) => void;
  readonly reject: (error: unknown) => void;
}

/**
 * Lets a request wait until the cache shows everything that was committed before the request arrived. From then on
 * an answer from the cache is as current as a separate read of the store. All requests that arrive at about the same
 * time share one read, however many jobs they are about, so no job waits longer than another.
 *
 * A request can be answered once the cache holds the result of a read of the watch that began after the request
 * arrived. While that read is blocked because nothing changes, a small read (a probe) returns the store's present
 * revision instead, and the request can be answered once the cache has reached it.
 */
export class LinearizableReads {
  #readers: Reader[] = [];
  /** monotonic-clock time in ms at which the watch's present read began; null between reads */
  #watchReadStartedAt: number | null = null;
  #probing = false;
  #timer: NodeJS.Timeout | null = null;

  constructor(
    private readonly client: Pick<StoreClient, 'get'>,
    private readonly cache: WatchCache,
    private readonly now: () => number,
  ) {
    cache.on('change', () => {
      this.#resolveCurrent();
    });
  }

  /** Must be called with the start time when a read of the watch begins, and with null when it ends. */
  onReadState(startedAt: number | null): void {
    this.#watchReadStartedAt = startedAt;
    if (this.#timer !== null) clearTimeout(this.#timer);
    this.#timer = null;
    this.#scheduleCheck();
  }

  /**
   * Resolves as soon as the cache shows everything that was committed before the call. Returns the monotonic-clock time
   * of the call in ms.
   */
  waitUntilCurrent(): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#readers.push({ requestedAt: this.now(), probedRevision: null, resolve, reject });
      this.#scheduleCheck();
    });
  }

  /** Stops the timer; requests that are still waiting are neither resolved nor rejected. */
  close(): void {
    if (this.#timer !== null) clearTimeout(this.#timer);
  }

  #resolveCurrent(): void {
    if (!this.cache.ready) return;
    const { currentAt, revision } = this.cache;
    this.#readers = this.#readers.filter((reader) => {
      const { requestedAt, probedRevision } = reader;
      const current =
        (probedRevision !== null && revision >= probedRevision) || requestedAt <= currentAt;
      if (current) reader.resolve(requestedAt);
      return !current;
    });
  }

  /**
   * Starts the timer that rejects expired requests and sends a probe if the watch's present read is blocked. Between
   * two reads of the watch it only rejects expired requests.
   */
  #scheduleCheck(): void {
    if (this.#timer !== null || this.#readers.length === 0) return;
    const waitMs = this.#watchReadStartedAt === null ? MAX_WAIT_MS : WATCH_PROBE_DELAY_MS;
    const timer = setTimeout(() => {
      if (this.#timer === timer) this.#timer = null;
      this.#expireReaders();
      const startedAt = this.#watchReadStartedAt;
      const isBlocked = startedAt !== null && this.now() - startedAt >= WATCH_PROBE_DELAY_MS;
      if (isBlocked && !this.#probing && this.#readers.some((r) => r.probedRevision === null)) {
        void this.#probe();
      }
      this.#scheduleCheck();
    }, waitMs);
    this.#timer = timer;
  }

  #expireReaders(): void {
    const expiredBefore = this.now() - MAX_WAIT_MS;
    for (const reader of this.#readers) {
      if (reader.requestedAt >= expiredBefore) continue;
      const message = `read not answered: the watch was not current within ${MAX_WAIT_MS} ms`;
      reader.reject(new StoreRequestError('overloaded', message));
    }
    this.#readers = this.#readers.filter((reader) => reader.requestedAt >= expiredBefore);
  }

  /**
   * Reads the store's present revision for the requests that arrived before the probe is sent. Later requests need
   * another probe, since this one's answer may be older than they are.
   */
  async #probe(): Promise<void> {
    this.#probing = true;
    const readers = this.#readers.filter((reader) => reader.probedRevision === null);
    try {
      const result = await this.client.get(storeKey.probe, CALL_PRIORITY.read);
      const revision = 'missing' in result ? result.storeRevision : result.revision;
      for (const reader of readers) reader.probedRevision = revision;
      this.#resolveCurrent();
    } catch (error) {
      for (const reader of readers) reader.reject(error);
      this.#readers = this.#readers.filter((reader) => !readers.includes(reader));
    } finally {
      this.#probing = false;
    }
  }
}
