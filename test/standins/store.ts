import { setTimeout as sleep } from 'node:timers/promises';
import { StandInServer, type Reply, type Request } from './server.js';

interface Item {
  value: unknown;
  revision: number;
  lease: number | null;
}
interface Change {
  key: string;
  revision: number;
  value?: unknown;
  removed: boolean;
}

/** Stand-in for the key-value store: keys, transactions, leases, watches and outages. */
export class FakeStore extends StandInServer {
  readonly items = new Map<string, Item>();
  readonly #changes: Change[] = [];
  readonly #leases = new Map<number, { ttl: number; until: number }>();
  #revision = 0;
  #nextLease = 0;
  #pendingWatches: (() => void)[] = [];
  #expiryTimer: NodeJS.Timeout | null = null;
  unavailable = false;
  /** requests that came in */
  requestCount = 0;
  /** what a value, a transaction and a second may hold; they may fall at any moment */
  limits = { valueBytes: 65_536, transactionOps: 1000, writeRps: Infinity };
  /** transactions refused for their size, and for their number */
  readonly rejectedTransactions = { size: 0, rate: 0 };
  #writeTokens = { left: Infinity, at: 0 };

  async start(): Promise<void> {
    await this.listen((r) => this.handle(r));
    this.#expiryTimer = setInterval(() => this.#expireLeases(), 50);
  }

  /** Revision of the latest transaction. */
  get revision(): number {
    return this.#revision;
  }

  /** Values that were there before any controller of the test. */
  putValues(values: Readonly<Record<string, unknown>>): void {
    this.#write(Object.entries(values).map(([key, value]) => ({ Put: key, Value: value })));
  }

  /** Ends the outage; every lease then has its full time again. */
  recover(): void {
    this.unavailable = false;
    for (const l of this.#leases.values()) l.until = Date.now() + l.ttl;
  }

  #expireLeases(): void {
    if (this.unavailable) return;
    for (const [id, l] of this.#leases) {
      if (l.until > Date.now()) continue;
      this.#leases.delete(id);
      const keys = [...this.items].filter(([, i]) => i.lease === id).map(([k]) => k);
      if (keys.length > 0) this.#write(keys.map((k) => ({ Drop: k })));
    }
  }

  #write(writes: { Put?: string; Drop?: string; Value?: unknown; Permit?: number }[]): number {
    this.#revision += 1;
    for (const w of writes) {
      if (w.Put !== undefined) {
        this.items.set(w.Put, {
          value: w.Value,
          revision: this.#revision,
          lease: w.Permit ?? null,
        });
        this.#changes.push({
          key: w.Put,
          value: w.Value,
          revision: this.#revision,
          removed: false,
        });
      } else if (w.Drop !== undefined && this.items.delete(w.Drop)) {
        this.#changes.push({ key: w.Drop, revision: this.#revision, removed: true });
      }
    }
    for (const wake of this.#pendingWatches.splice(0)) wake();
    return this.#revision;
  }

  async handle(r: Request): Promise<Reply> {
    this.requestCount += 1;
    if (this.unavailable) return { status: 503, body: { error: 'trouble' } };
    if (r.path === '/multi') return this.#transaction(r.body as never);
    if (r.path === '/leases') {
      this.#nextLease += 1;
      const ttl = (r.body as { TtlMs: number }).TtlMs;
      this.#leases.set(this.#nextLease, { ttl, until: Date.now() + ttl });
      return { status: 200, body: { Permit: this.#nextLease } };
    }
    if (r.path.startsWith('/leases/')) {
      const l = this.#leases.get(Number(r.path.split('/')[2]));
      if (l === undefined) return { status: 404, body: {} };
      l.until = Date.now() + l.ttl;
      return { status: 200, body: {} };
    }
    if (r.path === '/follow') return this.#watch(r.query);
    if (r.path === '/store') return this.#list(r.query);
    const key = r.path.slice('/store/'.length);
    const item = this.items.get(key);
    if (item === undefined) return { status: 404, body: { Epoch: this.#revision } };
    return { status: 200, body: { K: key, Value: item.value, Stamp: item.revision } };
  }

  /** Bursts of one second's worth. */
  #exceedsWriteRate(writes: number): boolean {
    const now = Date.now();
    const { writeRps } = this.limits;
    if (writeRps === Infinity) return false;
    const passed = (now - this.#writeTokens.at) / 1000;
    this.#writeTokens = {
      left: Math.min(writeRps, this.#writeTokens.left + passed * writeRps),
      at: now,
    };
    if (this.#writeTokens.left < writes) return true;
    this.#writeTokens.left -= writes;
    return false;
  }

  #transaction(body: { When: { K: string; Stamp: number }[]; Writes: never[] }): Reply {
    const { valueBytes, transactionOps } = this.limits;
    const puts = body.Writes as { Value?: unknown }[];
    const large = puts.some((w) => JSON.stringify(w.Value ?? null).length > valueBytes);
    if (large || puts.length > transactionOps || body.When.length > 4 * transactionOps) {
      this.rejectedTransactions.size += 1;
      return { status: 400, body: { error: 'over the limits' } };
    }
    if (this.#exceedsWriteRate(Math.max(1, puts.length))) {
      this.rejectedTransactions.rate += 1;
      return { status: 429, body: { error: 'too many' } };
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
    const starts = query.get('Starts') ?? '';
    const since = query.get('Since') ?? '';
    const limit = Number(query.get('Limit') ?? 1000);
    const keys = [...this.items.keys()].filter((k) => k.startsWith(starts) && k > since).sort();
    const entries = keys.slice(0, limit).map((k) => {
      const item = this.items.get(k)!;
      return { K: k, Value: item.value, Stamp: item.revision };
    });
    const body = { Entries: entries, Truncated: keys.length > limit, Epoch: this.#revision };
    return { status: 200, body };
  }

  async #watch(query: URLSearchParams): Promise<Reply> {
    const since = Number(query.get('Since'));
    const until = Date.now() + Math.min(500, Number(query.get('BlockMs')));
    const found = () => this.#changes.filter((c) => c.revision > since);
    while (found().length === 0 && Date.now() < until) {
      await new Promise<void>((resolve) => {
        const timer = setTimeout(resolve, until - Date.now());
        this.#pendingWatches.push(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
    const changes = found().map((c) =>
      c.removed
        ? { Drop: c.key, Stamp: c.revision }
        : { Put: c.key, Value: c.value, Stamp: c.revision },
    );
    return { status: 200, body: { Epoch: this.#revision, News: changes } };
  }

  override close(): void {
    if (this.#expiryTimer !== null) clearInterval(this.#expiryTimer);
    super.close();
  }
}

/** One node's way to the state service, which can treat it otherwise than the others. */
export class StoreProxy extends StandInServer {
  /** told of every transaction that arrives here */
  onTransaction: ((request: Request) => void) | null = null;
  /** every call gets 503, and open watches wait, while other nodes are served */
  unavailable = false;
  /** ms that each answer takes longer */
  delayMs = 0;
  /** ms that each answer is held up on its way back: what it says is that old when it arrives */
  responseDelayMs = 0;
  /** ms that each transaction takes longer on its way */
  transactionDelayMs = 0;
  /** transactions that are still on their way are lost */
  dropsTransactions = false;
  /** every second transaction gets no answer and is carried out this much later, after newer ones */
  lateTransactionMs: number | null = null;
  /** every second transaction is carried out at once, and only its answer is lost */
  losesResponses = false;
  /** answers that were lost */
  lostResponses = 0;
  #transactions = 0;
  /** transactions that were carried out late */
  lateTransactions = 0;

  constructor(private readonly store: FakeStore) {
    super();
  }

  async start(): Promise<void> {
    await this.listen((r) => this.#forward(r));
  }

  async #forward(r: Request): Promise<Reply> {
    if (r.path === '/multi') this.onTransaction?.(r);
    if (this.unavailable) return { status: 503, body: { error: 'trouble' } };
    if (this.delayMs > 0) await sleep(this.delayMs);
    if (r.path === '/multi' && this.transactionDelayMs > 0) await sleep(this.transactionDelayMs);
    if (r.path === '/multi' && this.dropsTransactions) return 'hang';
    if (r.path === '/multi') this.#transactions += 1;
    if (r.path === '/multi' && this.lateTransactionMs !== null && this.#transactions % 2 === 0) {
      void sleep(this.lateTransactionMs).then(() => {
        this.lateTransactions += 1;
        return this.store.handle(r);
      });
      return 'hang';
    }
    const reply = await this.store.handle(r);
    if (this.responseDelayMs > 0) await sleep(this.responseDelayMs);
    if (r.path === '/multi' && this.losesResponses && this.#transactions % 2 === 0) {
      this.lostResponses += 1;
      return 'hang';
    }
    return this.unavailable ? 'hang' : reply;
  }
}
