/** Stand-in for the state service, after the section "Controller nodes -> state service" of the protocol. */
import { performance } from 'node:perf_hooks';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';
import { serve, jsonBytes, BODY_LIMIT } from './http.mjs';

/** A rate limit with bursts worth one second. */
class Rate {
  constructor(perSecond) {
    this.perSecond = perSecond;
    this.left = perSecond;
    this.at = performance.now();
  }

  take(count) {
    const now = performance.now();
    this.left = Math.min(this.perSecond, this.left + ((now - this.at) / 1000) * this.perSecond);
    this.at = now;
    if (this.left < count) return false;
    this.left -= count;
    return true;
  }
}

export class Store {
  constructor(limits) {
    this.limits = limits;
    this.items = new Map();
    this.leases = new Map();
    this.changes = [];
    this.epoch = 0;
    this.lastPermit = 0;
    this.wakers = new Set();
    this.requests = new Rate(limits.rps);
    this.writes = new Rate(limits.write_rps);
    /** true: every request gets 503, open watches stay open, no lease ends */
    this.down = false;
    this.refused = 0;
  }

  async start() {
    this.server = await serve((req) => this.handle(req));
    this.timer = setInterval(() => this.expire(), 20);
    return this.server.address;
  }

  close() {
    clearInterval(this.timer);
    this.server.close();
  }

  setDown(down) {
    this.down = down;
    if (down) return;
    for (const lease of this.leases.values()) lease.endsAt = performance.now() + lease.ttlMs;
    this.wake();
  }

  wake() {
    for (const waker of [...this.wakers]) waker();
  }

  expire() {
    if (this.down) return;
    for (const [permit, lease] of this.leases) {
      if (performance.now() < lease.endsAt + 20) continue;
      this.leases.delete(permit);
      const keys = [...this.items].filter(([, item]) => item.permit === permit).map(([k]) => k);
      if (keys.length > 0) this.apply(keys.map((key) => ({ Drop: key })));
    }
  }

  apply(writes) {
    this.epoch += 1;
    for (const { Put, Drop, Value, Permit } of writes) {
      if (Put !== undefined) {
        this.items.set(Put, { value: Value, stamp: this.epoch, permit: Permit ?? null });
        this.changes.push({ Put, Value, Stamp: this.epoch });
      } else if (this.items.delete(Drop)) this.changes.push({ Drop, Stamp: this.epoch });
    }
    this.wake();
    return this.epoch;
  }

  async handle(req) {
    if (this.down) return { status: 503, body: { error: 'unavailable' } };
    if (!this.requests.take(1)) return this.refuse();
    await new Promise((resolve) => setTimeout(resolve, 2));
    const { path, body, query } = req;
    if (path === '/multi') return this.multi(body);
    if (path === '/leases') return this.grant(body);
    if (path.startsWith('/leases/')) return this.lease(req);
    if (path === '/follow') return this.follow(query);
    if (path === '/store') return this.list(query);
    return this.get(path.slice('/store/'.length));
  }

  refuse() {
    this.refused += 1;
    return { status: 429, body: { error: 'too many' } };
  }

  grant({ TtlMs: ttlMs }) {
    this.lastPermit += 1;
    this.leases.set(this.lastPermit, { ttlMs, endsAt: performance.now() + ttlMs });
    return { status: 200, body: { Permit: this.lastPermit } };
  }

  lease({ method, path }) {
    const permit = Number(path.split('/')[2]);
    const lease = this.leases.get(permit);
    if (lease === undefined) return { status: 404 };
    lease.endsAt = method === 'DELETE' ? -Infinity : performance.now() + lease.ttlMs;
    return { status: 200 };
  }

  get(key) {
    const item = this.items.get(key);
    if (item === undefined) return { status: 404, body: { Epoch: this.epoch } };
    return {
      status: 200,
      body: { K: key, Value: item.value, Stamp: item.stamp, Permit: item.permit },
    };
  }

  list(query) {
    const prefix = query.get('Starts') ?? '';
    const since = query.get('Since') ?? '';
    const limit = Math.min(1000, Number(query.get('Limit') ?? 1000));
    const keys = [...this.items.keys()].filter((k) => k.startsWith(prefix) && k > since).sort();
    const entries = keys.slice(0, limit).map((key) => {
      const { value, stamp, permit } = this.items.get(key);
      return { K: key, Value: value, Stamp: stamp, Permit: permit };
    });
    const body = { Entries: entries, Truncated: keys.length > limit, Epoch: this.epoch };
    return { status: 200, body };
  }

  multi(body) {
    const { When: when = [], Writes: writes = [] } = body;
    const { value_kb: valueKb, txn_ops: ops } = this.limits;
    const tooLarge = writes.some((w) => 'Value' in w && jsonBytes(w.Value) > valueKb * 1024);
    if (tooLarge || writes.length > ops || when.length > 4 * ops || jsonBytes(body) > BODY_LIMIT)
      return { status: 400, body: { error: 'over the limit' } };
    if (!this.writes.take(writes.length)) return this.refuse();
    const failed = when.filter(({ K, Stamp }) => (this.items.get(K)?.stamp ?? 0) !== Stamp);
    if (failed.length > 0)
      return { status: 409, body: { failed: failed.map(({ K }) => K), Epoch: this.epoch } };
    if (writes.some((w) => w.Permit !== undefined && !this.leases.has(w.Permit)))
      return { status: 400, body: { error: 'no such lease' } };
    return { status: 200, body: { Epoch: writes.length === 0 ? this.epoch : this.apply(writes) } };
  }

  async follow(query) {
    const since = Number(query.get('Since'));
    const prefix = query.get('Starts') ?? '';
    const endsAt = performance.now() + Math.min(60_000, Number(query.get('BlockMs') ?? 0));
    if (since < this.epoch - 10_000) return { status: 410 };
    const news = () =>
      this.changes.filter((c) => c.Stamp > since && (c.Put ?? c.Drop).startsWith(prefix));
    while (this.down || (news().length === 0 && performance.now() < endsAt)) {
      await new Promise((resolve) => {
        const waker = () => {
          clearTimeout(timer);
          this.wakers.delete(waker);
          resolve();
        };
        const timer = setTimeout(waker, Math.max(20, endsAt - performance.now()));
        this.wakers.add(waker);
      });
    }
    return { status: 200, body: { Epoch: this.epoch, News: news() } };
  }
}
