import { StoreUnavailableError, type CompareAndSwapResult } from '@sumacstep/leader-election';
import type { Logger } from 'pino';
import {
  RATE_LIMITED_BACKOFF_MS,
  MAX_GUARDS_PER_WRITE,
  MAX_REMEMBERED_REJECTIONS,
  MIN_STORE_BURST_TOKENS,
  STORE_BURST_S,
  STORE_CALL_TIMEOUT_MS,
  STORE_QUEUE_LIMIT,
  MAX_STORE_SOCKETS,
  CONSECUTIVE_FAILURES_LIMIT,
} from './constants.js';
import { CborClient, NoResponseError, type Response } from '../transport/http.js';
import { TokenBucket } from '../transport/token-bucket.js';
import {
  committedSchema,
  conflictSchema,
  listingSchema,
  entrySchema,
  leaseSchema,
  leaseBody,
  missingSchema,
  watchSchema,
  transactionBody,
  type Guard,
  type Write,
} from '../wire/schemas.js';

/** The state service did not carry the call out (503, 429) or did not answer (unknown). */
export class StoreRequestError extends StoreUnavailableError {
  constructor(
    readonly kind: 'refused' | 'no_answer' | 'busy' | 'invalid',
    message: string,
  ) {
    super(message);
  }
}

/** Order in which calls get tokens. */
export const CALL_PRIORITY = {
  renew: 0,
  watch: 1,
  cancellation: 2,
  acceptance: 3,
  completion: 4,
  read: 5,
  background: 6,
} as const;
export type CallPriority = (typeof CALL_PRIORITY)[keyof typeof CALL_PRIORITY];

export interface Entry {
  readonly key: string;
  readonly value: unknown;
  readonly revision: number;
  /** the lease that the key is attached to, if the answer tells */
  readonly lease?: number | null;
}
export interface Page {
  readonly entries: readonly Entry[];
  readonly more: boolean;
  readonly storeRevision: number;
}
export type Found = Entry | { readonly missing: true; readonly storeRevision: number };
export type { CompareAndSwapResult };
export interface Change {
  readonly key: string;
  readonly revision: number;
  /** undefined: removed */
  readonly value: unknown;
  readonly removed: boolean;
}

interface Waiter {
  readonly cost: { requests: number; writes: number };
  readonly go: () => void;
}

export interface StoreLimits {
  readonly rps: number;
  readonly writeRps: number;
  /** what is allowed from some moment on, which a 429 tells; as now if nothing is announced */
  readonly next?: { readonly rps: number; readonly writeRps: number };
}

/** What the state service takes at the most, now and later. */
export interface StoreSizeLimits {
  readonly valueBytes: number;
  readonly transactionOps: number;
}

const keyOf = (write: Write): string => ('put' in write ? write.put : write.drop);

const burst = (rate: number) => Math.max(MIN_STORE_BURST_TOKENS, rate * STORE_BURST_S);

/** The one place for calls to the state service. */
export class StoreClient {
  readonly #http: CborClient;
  readonly #watch: CborClient;
  readonly #requests: TokenBucket;
  readonly #writes: TokenBucket;
  readonly #queues: Waiter[][] = Object.values(CALL_PRIORITY).map(() => []);
  #queued = 0;
  #timer: NodeJS.Timeout | null = null;
  /** steady ms of the last answer that shows the service working */
  lastSuccessAt = -Infinity;
  #troubles = 0;
  /** what was refused for good: the same is not sent again */
  readonly #invalid = new Set<string>();
  /** the limits that have come down to what was announced */
  readonly #lowered = { rps: false, writeRps: false };

  constructor(
    address: string,
    private limits: StoreLimits,
    private readonly sizes: StoreSizeLimits,
    private readonly now: () => number,
    private readonly log: Logger,
  ) {
    this.#http = new CborClient(address, MAX_STORE_SOCKETS);
    this.#watch = new CborClient(address, 2);
    this.#requests = new TokenBucket(limits.rps, burst(limits.rps), now());
    this.#writes = new TokenBucket(limits.writeRps, burst(limits.writeRps), now());
  }

  #pump(): void {
    if (this.#timer !== null) return;
    const now = this.now();
    for (const queue of this.#queues) {
      while (queue.length > 0) {
        const { cost, go } = queue[0]!;
        const wait = Math.max(
          this.#requests.waitMs(cost.requests, now),
          cost.writes > 0 ? this.#writes.waitMs(cost.writes, now) : 0,
        );
        if (wait > 0) {
          // A waiting write holds back less important writes, not reads: look at the next class.
          this.#timer ??= setTimeout(
            () => {
              this.#timer = null;
              this.#pump();
            },
            Math.max(1, Math.ceil(wait)),
          );
          break;
        }
        this.#requests.take(cost.requests, now);
        if (cost.writes > 0) this.#writes.take(cost.writes, now);
        queue.shift();
        this.#queued -= 1;
        go();
      }
    }
  }

  #token(cls: CallPriority, writes: number): Promise<void> {
    if (this.#queued >= STORE_QUEUE_LIMIT && cls !== CALL_PRIORITY.renew) {
      return Promise.reject(
        new StoreRequestError('busy', 'too many calls wait for the state service'),
      );
    }
    return new Promise((resolve) => {
      this.#queues[cls]!.push({ cost: { requests: 1, writes }, go: resolve });
      this.#queued += 1;
      this.#pump();
    });
  }

  /** The node's share of the limits changes with the number of nodes that live. */
  setLimits(limits: StoreLimits): void {
    this.limits = limits;
    const rate = (k: 'rps' | 'writeRps') =>
      this.#lowered[k] && limits.next !== undefined ? limits.next[k] : limits[k];
    this.#requests.setRate(rate('rps'), burst(rate('rps')), this.now());
    this.#writes.setRate(rate('writeRps'), burst(rate('writeRps')), this.now());
  }

  /** A 429 although we kept to our share: the limit may have come down to what was announced. */
  #lower(k: 'rps' | 'writeRps'): void {
    const next = this.limits.next?.[k];
    if (this.#lowered[k] || next === undefined || next >= this.limits[k]) return;
    this.#lowered[k] = true;
    this.setLimits(this.limits);
    this.log.info({ limit: k, share: next }, 'state service refuses: lower limit from now on');
  }

  /** ms until a write of this class that comes now would probably leave. */
  expectedWaitMs(cls: CallPriority): number {
    let writes = 1;
    for (const queue of this.#queues.slice(0, cls + 1)) {
      for (const w of queue) writes += w.cost.writes;
    }
    return this.#writes.waitMs(writes, this.now(), true);
  }

  /** False once calls fail in a row: an outage, or one that only this node sees. */
  get available(): boolean {
    return this.#troubles < CONSECUTIVE_FAILURES_LIMIT;
  }

  async #call(
    cls: CallPriority,
    method: string,
    path: string,
    body?: unknown,
    writes = 0,
    timeoutMs = STORE_CALL_TIMEOUT_MS,
    client = this.#http,
  ): Promise<Response> {
    await this.#token(cls, writes);
    let answer: Response;
    try {
      answer = await client.call(method, path, body, timeoutMs);
    } catch (error) {
      this.#troubles += 1;
      const text = error instanceof NoResponseError ? error.message : String(error);
      throw new StoreRequestError('no_answer', text);
    }
    if (answer.status === 429) {
      (writes > 0 ? this.#writes : this.#requests).block(RATE_LIMITED_BACKOFF_MS, this.now());
      this.#lower(writes > 0 ? 'writeRps' : 'rps');
      throw new StoreRequestError('refused', `${method} ${path}: 429`);
    }
    if (answer.status >= 500) {
      this.#troubles += 1;
      throw new StoreRequestError('refused', `${method} ${path}: ${answer.status}`);
    }
    this.lastSuccessAt = this.now();
    this.#troubles = 0;
    return answer;
  }

  async get(key: string, cls: CallPriority): Promise<Found> {
    const a = await this.#call(cls, 'GET', `/store/${key}`);
    if (a.status === 404)
      return { missing: true, storeRevision: missingSchema.parse(a.body).Epoch };
    const e = entrySchema.parse(a.body);
    return { key: e.K, value: e.Value, revision: e.Stamp, lease: e.Permit ?? null };
  }

  async list(
    prefix: string,
    since: string | null,
    limit: number,
    cls: CallPriority = CALL_PRIORITY.watch,
  ): Promise<Page> {
    const after = since === null ? '' : `&Since=${encodeURIComponent(since)}`;
    const path = `/store?Starts=${encodeURIComponent(prefix)}${after}&Limit=${limit}`;
    const a = await this.#call(cls, 'GET', path);
    const page = listingSchema.parse(a.body);
    return {
      entries: page.Entries.map((e) => ({ key: e.K, value: e.Value, revision: e.Stamp })),
      more: page.Truncated ?? false,
      storeRevision: page.Epoch,
    };
  }

  /** Larger than the service may take, now or from some moment on: it is not even sent. */
  #checkSizes(guards: readonly Guard[], writes: readonly Write[]): string {
    const { valueBytes, transactionOps } = this.sizes;
    const sizes = writes.map((w) => ('put' in w ? JSON.stringify(w.value).length : 0));
    const shape = writes.map((w, i) => `${keyOf(w)} ${sizes[i]}`).join();
    if (this.#invalid.has(shape)) throw new StoreRequestError('invalid', 'refused before as it is');
    const large = writes.find((_, i) => sizes[i]! > valueBytes);
    const many =
      writes.length > transactionOps || guards.length > transactionOps * MAX_GUARDS_PER_WRITE;
    if (large === undefined && !many) return shape;
    const key = large === undefined ? null : keyOf(large);
    return this.#refused(shape, { key, writes: writes.length, conditions: guards.length });
  }

  #refused(shape: string, what: object): never {
    if (this.#invalid.size >= MAX_REMEMBERED_REJECTIONS) this.#invalid.clear();
    this.#invalid.add(shape);
    this.log.error(what, 'transaction over the limits of the state service');
    throw new StoreRequestError('invalid', `transaction over the limits: ${JSON.stringify(what)}`);
  }

  /** Checked against the limits first; a 400 all the same is an error of the caller, and logged. */
  async compareAndSwap(
    cls: CallPriority,
    guards: readonly Guard[],
    writes: readonly Write[],
  ): Promise<CompareAndSwapResult> {
    const shape = this.#checkSizes(guards, writes);
    const body = transactionBody(guards, writes);
    const a = await this.#call(cls, 'POST', '/multi', body, Math.max(1, writes.length));
    if (a.status === 200) return { ok: true, epoch: committedSchema.parse(a.body).Epoch };
    if (a.status === 409) return { ok: false, failed: conflictSchema.parse(a.body).failed ?? [] };
    return this.#refused(shape, { status: a.status, answer: a.body, keys: writes.map(keyOf) });
  }

  /** Writes a key attached to a lease; null if the lease has ended. */
  async register(name: string, value: unknown, id: number): Promise<number | null> {
    const body = transactionBody([], [{ put: name, value, lease: id }]);
    const a = await this.#call(CALL_PRIORITY.renew, 'POST', '/multi', body, 1);
    return a.status === 200 ? committedSchema.parse(a.body).Epoch : null;
  }

  async grant(ttlMs: number): Promise<number> {
    const a = await this.#call(CALL_PRIORITY.renew, 'POST', '/leases', leaseBody(ttlMs));
    if (a.status !== 200) throw new StoreRequestError('refused', `no lease: ${a.status}`);
    return leaseSchema.parse(a.body).Permit;
  }

  /** False if the lease has ended. */
  async renew(id: number): Promise<boolean> {
    const a = await this.#call(CALL_PRIORITY.renew, 'POST', `/leases/${id}/renew`, {});
    if (a.status === 404) return false;
    if (a.status !== 200) throw new StoreRequestError('refused', `renewal: ${a.status}`);
    return true;
  }

  /** Changes after `since`; null if the service no longer keeps them. */
  async watch(since: number, blockMs: number) {
    const path = `/follow?Starts=&Since=${since}&BlockMs=${blockMs}`;
    const limit = blockMs + STORE_CALL_TIMEOUT_MS;
    const a = await this.#call(CALL_PRIORITY.watch, 'GET', path, undefined, 0, limit, this.#watch);
    if (a.status === 410) return null;
    const n = watchSchema.parse(a.body);
    const changes: Change[] = n.News.map((c) => {
      const removed = c.Drop !== undefined && c.Drop !== null;
      return { key: (removed ? c.Drop : c.Put) ?? '', revision: c.Stamp, value: c.Value, removed };
    });
    return { epoch: n.Epoch, changes };
  }

  close(): void {
    if (this.#timer !== null) clearTimeout(this.#timer);
    this.#http.close();
    this.#watch.close();
  }
}
