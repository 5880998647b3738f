/** Sends a node's calls within its share of the store's rate limits, in the order of their priorities. */
import type { Logger } from 'pino';
import { TokenBucket } from '../transport/token-bucket.js';
import { CALL_PRIORITY, type CallPriority } from './call-priority.js';
import {
  MIN_STORE_BURST_TOKENS,
  RATE_LIMITED_BACKOFF_MS,
  STORE_BURST_S,
  STORE_QUEUE_LIMIT,
} from './constants.js';
import { StoreRequestError } from './errors.js';

/** Requests and written keys per second. */
interface StoreRates {
  readonly rps: number;
  readonly writeRps: number;
}

/** One node's share of the store's limits. */
export interface StoreLimits extends StoreRates {
  /**
   * limits announced for an unknown later moment, equal to the present ones if none are announced; a 429 is taken
   * as the sign that they apply
   */
  readonly next?: StoreRates;
}

type RateName = keyof StoreRates;

interface QueuedCall {
  /** keys that the call writes, or 0 for a read */
  readonly writes: number;
  readonly send: () => void;
}

const burstTokens = (rate: number): number =>
  Math.max(MIN_STORE_BURST_TOKENS, rate * STORE_BURST_S);

/** Queues calls by priority. Each call costs a token per request, and a token per key that it writes. */
export class RequestScheduler {
  readonly #requests: TokenBucket;
  readonly #writes: TokenBucket;
  /** queues by priority, first in first out */
  readonly #queues: QueuedCall[][] = Object.values(CALL_PRIORITY).map(() => []);
  #queuedCalls = 0;
  #timer: NodeJS.Timeout | null = null;
  /** which limits have been lowered to the announced ones */
  readonly #lowered = { rps: false, writeRps: false };

  constructor(
    private limits: StoreLimits,
    private readonly now: () => number,
    private readonly log: Logger,
  ) {
    this.#requests = new TokenBucket(limits.rps, burstTokens(limits.rps), now());
    this.#writes = new TokenBucket(limits.writeRps, burstTokens(limits.writeRps), now());
  }

  /**
   * Resolves when the call may be sent. If too many calls are waiting, rejects at once with `overloaded`, except for
   * renewals, which always wait.
   */
  acquire(priority: CallPriority, writes: number): Promise<void> {
    if (this.#queuedCalls >= STORE_QUEUE_LIMIT && priority !== CALL_PRIORITY.renew) {
      const message = `store call not sent: ${this.#queuedCalls} calls wait for the rate limit`;
      return Promise.reject(new StoreRequestError('overloaded', message));
    }
    return new Promise((resolve) => {
      this.#queues[priority]!.push({ writes, send: resolve });
      this.#queuedCalls += 1;
      this.#sendReady();
    });
  }

  /** Sets the node's share of the limits, which changes with the number of live nodes. */
  setLimits(limits: StoreLimits): void {
    this.limits = limits;
    const now = this.now();
    const rps = this.#currentRate('rps');
    const writeRps = this.#currentRate('writeRps');
    this.#requests.setRate(rps, burstTokens(rps), now);
    this.#writes.setRate(writeRps, burstTokens(writeRps), now);
  }

  /** Handles a 429: pauses calls, and lowers the limit to the announced one if that is lower. */
  recordRateLimited(writes: number): void {
    const bucket = writes > 0 ? this.#writes : this.#requests;
    bucket.block(RATE_LIMITED_BACKOFF_MS, this.now());
    this.#lowerRate(writes > 0 ? 'writeRps' : 'rps');
  }

  /** Returns the estimated time in ms until a write of this priority would be sent if it were queued now. */
  expectedWaitMs(priority: CallPriority): number {
    let writes = 1;
    for (const queue of this.#queues.slice(0, priority + 1)) {
      for (const call of queue) writes += call.writes;
    }
    return this.#writes.backlogWaitMs(writes, this.now());
  }

  /** Stops the timer; calls that are still waiting are never sent. */
  close(): void {
    if (this.#timer !== null) clearTimeout(this.#timer);
  }

  #currentRate(rate: RateName): number {
    const { limits } = this;
    return this.#lowered[rate] && limits.next !== undefined ? limits.next[rate] : limits[rate];
  }

  #lowerRate(rate: RateName): void {
    const next = this.limits.next?.[rate];
    if (this.#lowered[rate] || next === undefined || next >= this.limits[rate]) return;
    this.#lowered[rate] = true;
    this.setLimits(this.limits);
    this.log.info({ limit: rate, share: next }, 'store rate limit lowered');
  }

  #sendReady(): void {
    if (this.#timer !== null) return;
    const now = this.now();
    for (const queue of this.#queues) {
      while (queue.length > 0) {
        const { writes, send } = queue[0]!;
        const waitMs = this.#waitMs(writes, now);
        if (waitMs > 0) {
          // Only this queue waits: while tokens for a write are missing, the queues of lower priority may
          // still send reads, and writes for which there are enough tokens.
          this.#scheduleAfter(waitMs);
          break;
        }
        this.#requests.tryTake(1, now);
        if (writes > 0) this.#writes.tryTake(writes, now);
        queue.shift();
        this.#queuedCalls -= 1;
        send();
      }
    }
  }

  #waitMs(writes: number, now: number): number {
    const requestMs = this.#requests.waitMs(1, now);
    return writes > 0 ? Math.max(requestMs, this.#writes.waitMs(writes, now)) : requestMs;
  }

  #scheduleAfter(waitMs: number): void {
    this.#timer ??= setTimeout(
      () => {
        this.#timer = null;
        this.#sendReady();
      },
      Math.max(1, Math.ceil(waitMs)),
    );
  }
}
