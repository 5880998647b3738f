/**
 * The client of the key-value store. Each call waits until the rate limits allow it (`RequestScheduler`). It then
 * returns the store's answer or throws a `StoreRequestError`.
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

/** All calls to the store go through this client. */
export class StoreClient {
  readonly #http: CborClient;
  /** separate connections, since a watch occupies one for as long as nothing changes */
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

  /** Monotonic-clock time in ms of the last answer that shows the store to be working. */
  get lastSuccessAt(): number {
    return this.#availability.lastSuccessAt;
  }

  /** False after consecutive failed calls: during an outage, which may affect this node only. */
  get available(): boolean {
    return this.#availability.available;
  }

  /** Sets the node's share of the limits, which changes with the number of live nodes. */
  setLimits(limits: StoreLimits): void {
    this.#scheduler.setLimits(limits);
  }

  /** Returns the estimated time in ms until a write of this priority would be sent if it were queued now. */
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

  /** Reads one page of the keys under a prefix; `afterKey` is the last key of the previous page, null for the first. */
  async list(
    prefix: string,
    afterKey: string | null,
    limit: number,
    priority: CallPriority = CALL_PRIORITY.watch,
  ): Promise<Page> {
    const sinceParameter = afterKey === null ? '' : `&Since=${encodeURIComponent(afterKey)}`;
    const path = `/store?Starts=${encodeURIComponent(prefix)}${sinceParameter}&Limit=${limit}`;
    const response = await this.#call({ priority, method: 'GET', path });
    return listingSchema.parse(response.body);
  }

  /**
   * Carries out all writes if every guarded key has the revision of its guard, and none otherwise. A transaction that
   * exceeds the store's limits is not sent and fails with `invalid`.
   */
  async compareAndSwap(
    priority: CallPriority,
    guards: readonly Guard[],
    writes: readonly Write[],
  ): Promise<CompareAndSwapResult> {
    const signature = this.#transactionLimits.check(guards, writes);
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
    return this.#transactionLimits.reject(signature, { status, answer: body, keys });
  }

  /** Writes a key that is attached to a lease. Returns the store's revision, or null if the lease has ended. */
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

  /** Creates a lease and returns its id. */
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

  /** Renews a lease; returns false if it has ended. */
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
   * Returns the changes after a revision; while there are none, waits for up to `blockMs`. Returns null if the store
   * no longer keeps these changes: the caller must then list the keys again.
   */
  async watch(sinceRevision: number, blockMs: number): Promise<Changes | null> {
    const { status, body } = await this.#call(
      {
        priority: CALL_PRIORITY.watch,
        method: 'GET',
        path: `/follow?Starts=&Since=${sinceRevision}&BlockMs=${blockMs}`,
        timeoutMs: blockMs + STORE_CALL_TIMEOUT_MS,
      },
      this.#watchHttp,
    );
    return status === 410 ? null : watchSchema.parse(body);
  }

  /** Stops sending waiting calls and closes all connections. */
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
      const reason = error instanceof Error ? error.message : String(error);
      throw new StoreRequestError('no_response', reason, { cause: error });
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
