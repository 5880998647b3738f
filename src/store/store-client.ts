/**
 * The client of the key-value store. Each call waits for its turn (`RequestScheduler`) and either returns
 * the store's answer or throws a `StoreRequestError`.
 */
import type { CompareAndSwapResult, Guard, Write } from '@sumacstep/leader-election';
import type { Logger } from 'pino';
import { CborClient, type CborResponse } from '../transport/http.js';
import {
  conflictSchema,
  entrySchema,
  leaseBody,
  leaseSchema,
  listingSchema,
  storeRevisionSchema,
  transactionBody,
  watchSchema,
} from '../wire/store.js';
import { StoreAvailability } from './availability.js';
import { CALL_PRIORITY, type CallPriority } from './call-priority.js';
import { MAX_STORE_SOCKETS, STORE_CALL_TIMEOUT_MS, MAX_WATCH_SOCKETS } from './constants.js';
import { StoreRequestError } from './errors.js';
import { RequestScheduler, type StoreLimits } from './request-scheduler.js';
import { writtenKey, TransactionLimits, type StoreSizeLimits } from './transaction-limits.js';
import type { Changes, ReadResult, Page } from './types.js';

interface Call {
  readonly priority: CallPriority;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: unknown;
  /** keys that the call writes */
  readonly writes?: number;
  readonly timeoutMs?: number;
}

/** The one place for calls to the store. */
export class StoreClient {
  readonly #http: CborClient;
  /** connections of their own, since a watch holds one for as long as nothing changes */
  readonly #watchHttp: CborClient;
  readonly #scheduler: RequestScheduler;
  readonly #transactionLimits: TransactionLimits;
  readonly #availability = new StoreAvailability();

  constructor(
    address: string,
    limits: StoreLimits,
    sizeLimits: StoreSizeLimits,
    private readonly now: () => number,
    log: Logger,
  ) {
    this.#http = new CborClient(address, MAX_STORE_SOCKETS);
    this.#watchHttp = new CborClient(address, MAX_WATCH_SOCKETS);
    this.#scheduler = new RequestScheduler(limits, now, log);
    this.#transactionLimits = new TransactionLimits(sizeLimits, log);
  }

  /** steady ms of the last answer that shows the store working */
  get lastSuccessAt(): number {
    return this.#availability.lastSuccessAt;
  }

  /** False once calls fail in a row: an outage, which may be one that only this node sees. */
  get available(): boolean {
    return this.#availability.available;
  }

  /** The node's share of the limits changes with the number of live nodes. */
  setLimits(limits: StoreLimits): void {
    this.#scheduler.setLimits(limits);
  }

  /** ms until a write of this priority that comes now would probably be sent. */
  expectedWaitMs(priority: CallPriority): number {
    return this.#scheduler.expectedWaitMs(priority);
  }

  /** Reads one key, as of a moment after the call. */
  async get(key: string, priority: CallPriority): Promise<ReadResult> {
    const response = await this.#call({ priority, method: 'GET', path: `/store/${key}` });
    if (response.status === 404) {
      return { missing: true, storeRevision: storeRevisionSchema.parse(response.body) };
    }
    return entrySchema.parse(response.body);
  }

  /** Reads a page of the keys under a prefix; `since` is the last key of the page before. */
  async list(
    prefix: string,
    since: string | null,
    limit: number,
    priority: CallPriority = CALL_PRIORITY.watch,
  ): Promise<Page> {
    const after = since === null ? '' : `&Since=${encodeURIComponent(since)}`;
    const path = `/store?Starts=${encodeURIComponent(prefix)}${after}&Limit=${limit}`;
    const response = await this.#call({ priority, method: 'GET', path });
    return listingSchema.parse(response.body);
  }

  /**
   * Writes all or nothing: only if each guarded key has its revision. Over the store's limits, it fails
   * with `invalid` and is not sent.
   */
  async compareAndSwap(
    priority: CallPriority,
    guards: readonly Guard[],
    writes: readonly Write[],
  ): Promise<CompareAndSwapResult> {
    const shape = this.#transactionLimits.check(guards, writes);
    const { status, body } = await this.#call({
      priority,
      method: 'POST',
      path: '/multi',
      body: transactionBody(guards, writes),
      writes: Math.max(1, writes.length),
    });
    if (status === 200) return { ok: true, epoch: storeRevisionSchema.parse(body) };
    if (status === 409) return { ok: false, failed: conflictSchema.parse(body) };
    const keys = writes.map(writtenKey);
    return this.#transactionLimits.reject(shape, { status, answer: body, keys });
  }

  /** Writes a key attached to a lease; returns the store's revision, or null if the lease has ended. */
  async register(key: string, value: unknown, lease: number): Promise<number | null> {
    const { status, body } = await this.#call({
      priority: CALL_PRIORITY.renew,
      method: 'POST',
      path: '/multi',
      body: transactionBody([], [{ put: key, value, lease }]),
      writes: 1,
    });
    return status === 200 ? storeRevisionSchema.parse(body) : null;
  }

  /** Returns the id of a new lease. */
  async grant(ttlMs: number): Promise<number> {
    const { status, body } = await this.#call({
      priority: CALL_PRIORITY.renew,
      method: 'POST',
      path: '/leases',
      body: leaseBody(ttlMs),
    });
    if (status !== 200) {
      throw new StoreRequestError('unavailable', `POST /leases: ${status}, no lease granted`);
    }
    return leaseSchema.parse(body);
  }

  /** Returns false if the lease has ended. */
  async renew(lease: number): Promise<boolean> {
    const path = `/leases/${lease}/renew`;
    const { status } = await this.#call({
      priority: CALL_PRIORITY.renew,
      method: 'POST',
      path,
      body: {},
    });
    if (status === 404) return false;
    if (status !== 200) {
      throw new StoreRequestError('unavailable', `POST ${path}: ${status}, lease not renewed`);
    }
    return true;
  }

  /**
   * Returns the changes after a revision, and waits up to `blockMs` for one. Null if the store no longer
   * keeps them: then the keys must be listed anew.
   */
  async watch(since: number, blockMs: number): Promise<Changes | null> {
    const { status, body } = await this.#call(
      {
        priority: CALL_PRIORITY.watch,
        method: 'GET',
        path: `/follow?Starts=&Since=${since}&BlockMs=${blockMs}`,
        timeoutMs: blockMs + STORE_CALL_TIMEOUT_MS,
      },
      this.#watchHttp,
    );
    return status === 410 ? null : watchSchema.parse(body);
  }

  /** Closes all connections. */
  close(): void {
    this.#scheduler.close();
    this.#http.close();
    this.#watchHttp.close();
  }

  async #call(call: Call, http = this.#http): Promise<CborResponse> {
    const { priority, method, path, body, writes = 0, timeoutMs = STORE_CALL_TIMEOUT_MS } = call;
    await this.#scheduler.acquire(priority, writes);
    let response: CborResponse;
    try {
      response = await http.call(method, path, body, timeoutMs);
    } catch (error) {
      this.#availability.recordFailure();
      const text = error instanceof Error ? error.message : String(error);
      throw new StoreRequestError('no_response', text, { cause: error });
    }
    if (response.status === 429) {
      this.#scheduler.recordRateLimited(writes);
      throw new StoreRequestError('rate_limited', `${method} ${path}: 429, rate limit reached`);
    }
    if (response.status >= 500) {
      this.#availability.recordFailure();
      const message = `${method} ${path}: ${response.status}, store unavailable`;
      throw new StoreRequestError('unavailable', message);
    }
    this.#availability.recordSuccess(this.now());
    return response;
  }
}
