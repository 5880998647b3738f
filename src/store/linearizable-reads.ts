/** Lets answers from the cache be as current as reads of the store. */
import { USER_REQUEST_TIMEOUT_MS } from '../constants.js';
import { CALL_PRIORITY } from './call-priority.js';
import { WATCH_PROBE_DELAY_MS } from './constants.js';
import { StoreRequestError } from './errors.js';
import { storeKey } from './keys.js';
import type { StoreClient } from './store-client.js';
import type { WatchCache } from './watch-cache.js';

/** ms after which the user's call has been refused anyhow */
const MAX_WAIT_MS = 2 * USER_REQUEST_TIMEOUT_MS;

interface Reader {
  /** steady ms of the request */
  readonly requestedAt: number;
  /** the store's revision that a probe found which was sent after the request; null: none yet */
  probedRevision: number | null;
  readonly resolve: (currentSince: number) => void;
  readonly reject: (error: unknown) => void;
}

/**
 * Tells when the cache shows everything that was committed before a request came in. Then an answer
 * from the cache is as current as a read of its own would be, and all requests of a moment share
 * one read however many jobs they are about, so no job can wait longer than another.
 *
 * The next read of the watch shows it. While that read is held, because nothing changes, one small read (a
 * probe) returns the store's present revision instead.
 */
export class LinearizableReads {
  #readers: Reader[] = [];
  /** steady ms at which the watch's present read began; null between reads */
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

  /** To be called when a read of the watch begins, and with null when it ends. */
  onReadState(startedAt: number | null): void {
    this.#watchReadStartedAt = startedAt;
    if (this.#timer !== null) clearTimeout(this.#timer);
    this.#timer = null;
    this.#scheduleCheck();
  }

  /** Resolves with the steady ms since which the cache is current: the moment of the call. */
  waitUntilCurrent(): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#readers.push({ requestedAt: this.now(), probedRevision: null, resolve, reject });
      this.#scheduleCheck();
    });
  }

  /** Stops the timer; readers that still wait are left unanswered. */
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

  /** Checks whether the present read is held; between two reads only whether readers have expired. */
  #scheduleCheck(): void {
    if (this.#timer !== null || this.#readers.length === 0) return;
    const waitMs = this.#watchReadStartedAt === null ? MAX_WAIT_MS : WATCH_PROBE_DELAY_MS;
    const timer = setTimeout(() => {
      if (this.#timer === timer) this.#timer = null;
      this.#expireReaders();
      const startedAt = this.#watchReadStartedAt;
      const held = startedAt !== null && this.now() - startedAt >= WATCH_PROBE_DELAY_MS;
      if (held && !this.#probing && this.#readers.some((r) => r.probedRevision === null)) {
        void this.#probe();
      }
      this.#scheduleCheck();
    }, waitMs);
    this.#timer = timer;
  }

  #expireReaders(): void {
    const oldest = this.now() - MAX_WAIT_MS;
    for (const reader of this.#readers) {
      if (reader.requestedAt >= oldest) continue;
      const message = `read not answered: the watch was not current within ${MAX_WAIT_MS} ms`;
      reader.reject(new StoreRequestError('overloaded', message));
    }
    this.#readers = this.#readers.filter((reader) => reader.requestedAt >= oldest);
  }

  /** Serves those who came before it was sent: the answer may be older than a later request. */
  async #probe(): Promise<void> {
    this.#probing = true;
    const readers = this.#readers.filter((reader) => reader.probedRevision === null);
    try {
      const found = await this.client.get(storeKey.probe, CALL_PRIORITY.read);
      const revision = 'missing' in found ? found.storeRevision : found.revision;
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
