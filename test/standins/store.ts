/** Stand-in for the key-value store, and a proxy in front of it that injects faults for one node. */
import { setTimeout as sleep } from 'node:timers/promises';
import { StandInServer, type Reply, type Request } from './server.js';

interface Item {
  value: unknown;
  /** revision of the last write */
  revision: number;
  /** lease with whose end the key is removed, or null */
  lease: number | null;
}
/** A change as the watch reports it; `value` is absent if the key was removed. */
interface Change {
  key: string;
  revision: number;
  value?: unknown;
  removed: boolean;
}

/** Serves keys, transactions, leases, listings and watches from memory, and simulates outages. */
export class FakeStore extends StandInServer {
  readonly items = new Map<string, Item>();
  readonly #changes: Change[] = [];
  readonly #leases = new Map<number, { ttlMs: number; expiresAtMs: number }>();
  #revision = 0;
  #nextLease = 0;
  #pendingWatches: (() => void)[] = [];
  #expiryTimer: NodeJS.Timeout | null = null;
  /** whether every request is answered with 503 and no lease expires */
  unavailable = false;
  /** number of requests that arrived */
  requestCount = 0;
  /** largest value, writes in a transaction, and writes in a second; a test may lower them at any moment */
  limits = { valueBytes: 65_536, transactionOps: 1000, writeRps: Infinity };
  /** numbers of transactions that were rejected for their size, and for their rate */
  readonly rejectedTransactions = { size: 0, rate: 0 };
  /** token bucket of writes */
  #writeTokens = { left: Infinity, refilledAtMs: 0 };

  async start(): Promise<void> {
    await this.listen((request) => this.handle(request));
    this.#expiryTimer = setInterval(() => this.#expireLeases(), 50);
  }

  /** The revision of the latest transaction. */
  get revision(): number {
    return this.#revision;
  }

  /** Writes values by key, as another client of the store would; limits do not apply. */
  putValues(values: Readonly<Record<string, unknown>>): void {
    this.#write(Object.entries(values).map(([key, value]) => ({ Put: key, Value: value })));
  }

  /** Ends an outage; every lease then lasts for its full time again. */
  recover(): void {
    this.unavailable = false;
    for (const lease of this.#leases.values()) lease.expiresAtMs = Date.now() + lease.ttlMs;
  }

  #expireLeases(): void {
    if (this.unavailable) return;
    for (const [id, lease] of this.#leases) {
      if (lease.expiresAtMs > Date.now()) continue;
      this.#leases.delete(id);
      const keys = [...this.items].filter(([, i]) => i.lease === id).map(([k]) => k);
      if (keys.length > 0) this.#write(keys.map((k) => ({ Drop: k })));
    }
  }

  #write(writes: { Put?: string; Drop?: string; Value?: unknown; Permit?: number }[]): number {
    this.#revision += 1;
    for (const write of writes) {
      if (write.Put !== undefined) {
        this.items.set(write.Put, {
          value: write.Value,
          revision: this.#revision,
          lease: write.Permit ?? null,
        });
        this.#changes.push({
          key: write.Put,
          value: write.Value,
          revision: this.#revision,
          removed: false,
        });
      } else if (write.Drop !== undefined && this.items.delete(write.Drop)) {
        this.#changes.push({ key: write.Drop, revision: this.#revision, removed: true });
      }
    }
    for (const wake of this.#pendingWatches.splice(0)) wake();
    return this.#revision;
  }

  /** Answers a request, also without the HTTP server. */
  async handle(request: Request): Promise<Reply> {
    this.requestCount += 1;
    if (this.unavailable) return { status: 503, body: { error: 'unavailable' } };
    if (request.path === '/multi') return this.#transaction(request.body as never);
    if (request.path === '/leases') {
      this.#nextLease += 1;
      const ttlMs = (request.body as { TtlMs: number }).TtlMs;
      this.#leases.set(this.#nextLease, { ttlMs, expiresAtMs: Date.now() + ttlMs });
      return { status: 200, body: { Permit: this.#nextLease } };
    }
    if (request.path.startsWith('/leases/')) {
      const lease = this.#leases.get(Number(request.path.split('/')[2]));
      if (lease === undefined) return { status: 404, body: {} };
      lease.expiresAtMs = Date.now() + lease.ttlMs;
      return { status: 200, body: {} };
    }
    if (request.path === '/follow') return this.#watch(request.query);
    if (request.path === '/store') return this.#list(request.query);
    const key = request.path.slice('/store/'.length);
    const item = this.items.get(key);
    if (item === undefined) return { status: 404, body: { Epoch: this.#revision } };
    return { status: 200, body: { K: key, Value: item.value, Stamp: item.revision } };
  }

  /** Takes write tokens, if there are enough; allows bursts of one second's writes. Returns whether they lack. */
  #exceedsWriteRate(writes: number): boolean {
    const now = Date.now();
    const { writeRps } = this.limits;
    if (writeRps === Infinity) return false;
    const elapsedS = (now - this.#writeTokens.refilledAtMs) / 1000;
    this.#writeTokens = {
      left: Math.min(writeRps, this.#writeTokens.left + elapsedS * writeRps),
      refilledAtMs: now,
    };
    if (this.#writeTokens.left < writes) return true;
    this.#writeTokens.left -= writes;
    return false;
  }

  #transaction(body: { When: { K: string; Stamp: number }[]; Writes: never[] }): Reply {
    const { valueBytes, transactionOps } = this.limits;
    const puts = body.Writes as { Value?: unknown }[];
    const tooLarge = puts.some((w) => JSON.stringify(w.Value ?? null).length > valueBytes);
    if (tooLarge || puts.length > transactionOps || body.When.length > 4 * transactionOps) {
      this.rejectedTransactions.size += 1;
      return { status: 400, body: { error: 'transaction exceeds the limits' } };
    }
    if (this.#exceedsWriteRate(Math.max(1, puts.length))) {
      this.rejectedTransactions.rate += 1;
      return { status: 429, body: { error: 'too many writes' } };
    }
    const failed = body.When.filter((c) => (this.items.get(c.K)?.revision ?? 0) !== c.Stamp);
    if (failed.length > 0) {
      return { status: 409, body: { failed: failed.map((c) => c.K), Epoch: this.#revision } };
    }
    const writes = body.Writes as { Permit?: number }[];
    if (writes.some((w) => w.Permit !== undefined && !this.#leases.has(w.Permit))) {
      return { status: 400, body: { error: 'no such lease' } };
    }
    return { status: 200, body: { Epoch: this.#write(writes) } };
  }

  #list(query: URLSearchParams): Reply {
    const prefix = query.get('Starts') ?? '';
    const after = query.get('Since') ?? '';
    const limit = Number(query.get('Limit') ?? 1000);
    const keys = [...this.items.keys()].filter((k) => k.startsWith(prefix) && k > after).sort();
    const entries = keys.slice(0, limit).map((key) => {
      const item = this.items.get(key)!;
      return { K: key, Value: item.value, Stamp: item.revision };
    });
    const body = { Entries: entries, Truncated: keys.length > limit, Epoch: this.#revision };
    return { status: 200, body };
  }

  /** Answers with the changes after `Since` as soon as there are any, or after `BlockMs`, at most 500 ms. */
  async #watch(query: URLSearchParams): Promise<Reply> {
    const since = Number(query.get('Since'));
    const deadlineMs = Date.now() + Math.min(500, Number(query.get('BlockMs')));
    const newChanges = () => this.#changes.filter((c) => c.revision > since);
    while (newChanges().length === 0 && Date.now() < deadlineMs) {
      await new Promise<void>((resolve) => {
        const timer = setTimeout(resolve, deadlineMs - Date.now());
        this.#pendingWatches.push(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
    const changes = newChanges().map(({ key, value, revision, removed }) =>
      removed ? { Drop: key, Stamp: revision } : { Put: key, Value: value, Stamp: revision },
    );
    return { status: 200, body: { Epoch: this.#revision, News: changes } };
  }

  override close(): void {
    if (this.#expiryTimer !== null) clearInterval(this.#expiryTimer);
    super.close();
  }
}

/** Forwards the calls of one node to the store. Faults that are set here affect this node only. */
export class StoreProxy extends StandInServer {
  /** called with every transaction that arrives at the proxy */
  onTransaction: ((request: Request) => void) | null = null;
  /** whether every call is answered with 503, while other nodes are served; calls in flight get no answer */
  unavailable = false;
  /** ms by which each call is delayed before it reaches the store */
  delayMs = 0;
  /** ms by which each answer of the store is delayed: its content is that old when it arrives */
  responseDelayMs = 0;
  /** ms by which each transaction is delayed before it reaches the store, in addition to `delayMs` */
  transactionDelayMs = 0;
  /** whether transactions are lost before they reach the store, including those that are being delayed */
  dropsTransactions = false;
  /** every second transaction gets no answer and is executed this many ms later, after newer ones; null: never */
  lateTransactionMs: number | null = null;
  /** whether every second transaction is executed at once, but its answer is lost */
  losesResponses = false;
  /** number of answers that were lost */
  lostResponses = 0;
  #transactions = 0;
  /** number of transactions that were executed late */
  lateTransactions = 0;

  constructor(private readonly store: FakeStore) {
    super();
  }

  async start(): Promise<void> {
    await this.listen((request) => this.#forward(request));
  }

  async #forward(request: Request): Promise<Reply> {
    if (request.path === '/multi') this.onTransaction?.(request);
    if (this.unavailable) return { status: 503, body: { error: 'unavailable' } };
    if (this.delayMs > 0) await sleep(this.delayMs);
    if (request.path === '/multi' && this.transactionDelayMs > 0)
      await sleep(this.transactionDelayMs);
    if (request.path === '/multi' && this.dropsTransactions) return 'hang';
    if (request.path === '/multi') this.#transactions += 1;
    if (
      request.path === '/multi' &&
      this.lateTransactionMs !== null &&
      this.#transactions % 2 === 0
    ) {
      void sleep(this.lateTransactionMs).then(() => {
        this.lateTransactions += 1;
        return this.store.handle(request);
      });
      return 'hang';
    }
    const reply = await this.store.handle(request);
    if (this.responseDelayMs > 0) await sleep(this.responseDelayMs);
    if (request.path === '/multi' && this.losesResponses && this.#transactions % 2 === 0) {
      this.lostResponses += 1;
      return 'hang';
    }
    return this.unavailable ? 'hang' : reply;
  }
}
