import { USER_REQUEST_TIMEOUT_MS } from '../constants.js';
import { HELD_WATCH_MS } from './constants.js';
import { CALL_PRIORITY, StoreRequestError, type StoreClient } from './store-client.js';
import { key } from './keys.js';
import type { WatchCache } from './watch-cache.js';

interface Waiter {
  /** steady ms of the call */
  readonly asked: number;
  /** a probe that began after the request found this epoch */
  epoch: number | null;
  readonly resolve: (currentSince: number) => void;
  readonly reject: (error: unknown) => void;
}

/**
 * Tells when the cache shows everything that was committed before a request came in. Then an answer
 * from the cache is as current as a read of its own would be, and all requests of a moment share
 * one read however many jobs they ask about, so no job can wait longer than another.
 *
 * The feed's next read does it. While the feed is held, because nothing changes, one small read
 * tells the present epoch instead.
 */
export class LinearizableReads {
  #waiters: Waiter[] = [];
  /** when the feed's present read began; null between reads */
  #reading: number | null = null;
  #probing = false;
  #timer: NodeJS.Timeout | null = null;

  constructor(
    private readonly client: Pick<StoreClient, 'get'>,
    private readonly cache: WatchCache,
    private readonly now: () => number,
  ) {
    cache.on('change', () => this.#settle());
  }

  onReadState(since: number | null): void {
    this.#reading = since;
    if (this.#timer !== null) clearTimeout(this.#timer);
    this.#timer = null;
    this.#look();
  }

  /** Resolves with the steady ms since which the cache is current: the moment of the call. */
  waitUntilCurrent(): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#waiters.push({ asked: this.now(), epoch: null, resolve, reject });
      this.#look();
    });
  }

  #settle(): void {
    if (!this.cache.ready) return;
    const { currentAt, revision: epoch } = this.cache;
    this.#waiters = this.#waiters.filter((waiter) => {
      const probed = waiter.epoch !== null && epoch >= waiter.epoch;
      const shown = probed || waiter.asked <= currentAt;
      if (shown) waiter.resolve(waiter.asked);
      return !shown;
    });
  }

  /** Looks after the read that is under way; between two reads there is nothing to wake up for. */
  #look(): void {
    if (this.#timer !== null || this.#waiters.length === 0) return;
    const between = this.#reading === null;
    const waitMs = between ? 2 * USER_REQUEST_TIMEOUT_MS : HELD_WATCH_MS;
    const timer = setTimeout(() => {
      if (this.#timer === timer) this.#timer = null;
      this.#expire();
      const held = this.#reading !== null && this.now() - this.#reading >= HELD_WATCH_MS;
      if (held && !this.#probing && this.#waiters.some((w) => w.epoch === null)) {
        void this.#probe();
      }
      this.#look();
    }, waitMs);
    this.#timer = timer;
  }

  /** Whoever asked so long ago has been refused by now. */
  #expire(): void {
    const since = this.now() - 2 * USER_REQUEST_TIMEOUT_MS;
    for (const waiter of this.#waiters) {
      if (waiter.asked < since) waiter.reject(new StoreRequestError('busy', 'late'));
    }
    this.#waiters = this.#waiters.filter((w) => w.asked >= since);
  }

  async #probe(): Promise<void> {
    this.#probing = true;
    const asked = this.#waiters.filter((w) => w.epoch === null);
    try {
      const found = await this.client.get(key.probe, CALL_PRIORITY.read);
      const epoch = 'missing' in found ? found.storeRevision : found.revision;
      for (const waiter of asked) waiter.epoch = epoch;
      this.#settle();
    } catch (error) {
      for (const waiter of asked) waiter.reject(error);
      this.#waiters = this.#waiters.filter((w) => !asked.includes(w));
    } finally {
      this.#probing = false;
    }
  }

  close(): void {
    if (this.#timer !== null) clearTimeout(this.#timer);
  }
}
