/** Stand-in for the state service, and the way of one controller to it, on which faults can be set. */
import { performance } from 'node:perf_hooks';
import { Buffer } from 'node:buffer';
import { setTimeout, clearTimeout, setInterval, clearInterval } from 'node:timers';
import { serve, sleep } from './wire.mjs';

/** Changes that the service keeps for watches. */
const KEPT_CHANGES = 10_000;

export class TokenBucket {
  constructor(rate, burst = rate) {
    this.rate = rate;
    this.burst = burst;
    this.tokens = burst;
    this.at = performance.now();
  }

  take(cost) {
    const now = performance.now();
    this.tokens = Math.min(this.burst, this.tokens + ((now - this.at) / 1000) * this.rate);
    this.at = now;
    if (this.tokens < cost) return false;
    this.tokens -= cost;
    return true;
  }
}

const SLOW = { status: 429, body: { error: 'too many' } };
const OUT = { status: 503, body: { error: 'out' } };

export class Store {
  items = new Map();
  changes = [];
  leases = new Map();
  epoch = 0;
  permits = 0;
  wakers = new Set();
  out = false;

  constructor(limits) {
    this.limits = limits;
    this.requests = new TokenBucket(limits.rps);
    this.writes = new TokenBucket(limits.write_rps);
    this.timer = setInterval(() => this.expire(), 25);
  }

  close() {
    clearInterval(this.timer);
    this.wake();
  }

  /** Ends an outage: every lease has its full time again. */
  recover() {
    this.out = false;
    for (const lease of this.leases.values()) lease.until = performance.now() + lease.ttl;
    this.wake();
  }

  wake() {
    for (const waker of [...this.wakers]) waker();
  }

  expire() {
    if (this.out) return;
    for (const [permit, lease] of this.leases) {
      if (lease.until <= performance.now()) this.endLease(permit);
    }
  }

  endLease(permit) {
    this.leases.delete(permit);
    const keys = [...this.items].filter(([, item]) => item.permit === permit).map(([key]) => key);
    if (keys.length > 0) this.apply(keys.map((key) => ({ Drop: key })));
  }

  apply(writes) {
    this.epoch += 1;
    for (const write of writes) {
      if (write.Put !== undefined) {
        const permit = write.Permit ?? null;
        this.items.set(write.Put, { value: write.Value, stamp: this.epoch, permit });
        this.changes.push({ Put: write.Put, Value: write.Value, Stamp: this.epoch });
      } else if (this.items.delete(write.Drop)) {
        this.changes.push({ Drop: write.Drop, Stamp: this.epoch });
      }
    }
    if (this.changes.length > KEPT_CHANGES)
      this.changes.splice(0, this.changes.length - KEPT_CHANGES);
    this.wake();
    return this.epoch;
  }

  async handle({ method, path, query, body }) {
    if (this.out) return OUT;
    if (!this.requests.take(1)) return SLOW;
    if (path === '/multi') return this.multi(body);
    if (path === '/leases') {
      this.permits += 1;
      this.leases.set(this.permits, { ttl: body.TtlMs, until: performance.now() + body.TtlMs });
      return { status: 200, body: { Permit: this.permits } };
    }
    if (path.startsWith('/leases/')) return this.lease(method, Number(path.split('/')[2]));
    if (path === '/follow') return this.follow(query);
    if (path === '/store') return this.list(query);
    const key = path.slice('/store/'.length);
    const item = this.items.get(key);
    if (item === undefined) return { status: 404, body: { Epoch: this.epoch } };
    return {
      status: 200,
      body: { K: key, Value: item.value, Stamp: item.stamp, Permit: item.permit },
    };
  }

  lease(method, permit) {
    const lease = this.leases.get(permit);
    if (lease === undefined) return { status: 404, body: {} };
    if (method === 'DELETE') this.endLease(permit);
    else lease.until = performance.now() + lease.ttl;
    return { status: 200, body: { Permit: permit } };
  }

  multi({ When: when = [], Writes: writes = [] }) {
    const { value_kb: valueKb, txn_ops: ops } = this.limits;
    const tooLarge = writes.some(
      ({ Value: value }) => Buffer.byteLength(JSON.stringify(value ?? null)) > valueKb * 1024,
    );
    if (tooLarge || writes.length > ops || when.length > 4 * ops) {
      return { status: 400, body: { error: 'over the limits' } };
    }
    if (!this.writes.take(Math.max(1, writes.length))) return SLOW;
    if (
      writes.some(({ Permit: permit }) => (permit ?? null) !== null && !this.leases.has(permit))
    ) {
      return { status: 400, body: { error: 'no such lease' } };
    }
    const failed = when.filter(
      ({ K: key, Stamp: stamp }) => (this.items.get(key)?.stamp ?? 0) !== stamp,
    );
    if (failed.length > 0) {
      return { status: 409, body: { failed: failed.map(({ K: key }) => key), Epoch: this.epoch } };
    }
    return { status: 200, body: { Epoch: writes.length === 0 ? this.epoch : this.apply(writes) } };
  }

  list(query) {
    const starts = query.get('Starts') ?? '';
    const since = query.get('Since') ?? '';
    const limit = Math.min(1000, Number(query.get('Limit') ?? 1000));
    const keys = [...this.items.keys()]
      .filter((key) => key.startsWith(starts) && key > since)
      .sort();
    const entries = keys.slice(0, limit).map((key) => {
      const { value, stamp } = this.items.get(key);
      return { K: key, Value: value, Stamp: stamp };
    });
    return {
      status: 200,
      body: { Entries: entries, Truncated: keys.length > limit, Epoch: this.epoch },
    };
  }

  async follow(query) {
    const starts = query.get('Starts') ?? '';
    const since = Number(query.get('Since'));
    const until = performance.now() + Math.min(60_000, Number(query.get('BlockMs') ?? 0));
    const oldest = this.changes[0]?.Stamp ?? 0;
    if (this.changes.length >= KEPT_CHANGES && since < oldest) {
      return { status: 410, body: { Epoch: this.epoch } };
    }
    const news = () =>
      this.changes.filter((c) => c.Stamp > since && (c.Put ?? c.Drop).startsWith(starts));
    // During an outage, open watches remain open.
    while (this.out || (news().length === 0 && performance.now() < until)) {
      await new Promise((resolve) => {
        const waker = () => {
          clearTimeout(timer);
          this.wakers.delete(waker);
          resolve();
        };
        const timer = setTimeout(waker, Math.max(1, this.out ? 200 : until - performance.now()));
        this.wakers.add(waker);
      });
    }
    return { status: 200, body: { Epoch: this.epoch, News: news() } };
  }
}

/** The way of one controller to the state service. */
export class StoreWay {
  /** every request gets 503 while other controllers are served; open watches wait */
  refused = false;
  /** nothing passes */
  cut = false;
  /** share of transactions that get no answer and are carried out after `lateMs()` */
  lateShare = 0;
  lateMs = () => 2000 + Math.random() * 10_000;
  /** share of transactions that are carried out at once, without an answer */
  unansweredShare = 0;
  /** called for each transaction; returns `late`, `unanswered`, `repeat` or undefined */
  pick = () => undefined;
  delayMs = 0;

  constructor(store) {
    this.store = store;
  }

  async open() {
    this.server = await serve((request) => this.forward(request));
    this.address = this.server.address;
  }

  close() {
    this.server.close();
  }

  async forward(request) {
    if (this.cut) return null;
    if (this.refused) return OUT;
    if (this.delayMs > 0) await sleep(this.delayMs);
    const isTransaction = request.path === '/multi';
    const picked = isTransaction ? this.pick(request) : undefined;
    if (picked === 'late' || (isTransaction && Math.random() < this.lateShare)) {
      setTimeout(() => void this.store.handle(request), this.lateMs());
      return null;
    }
    const reply = await this.store.handle(request);
    if (picked === 'unanswered' || (isTransaction && Math.random() < this.unansweredShare))
      return null;
    while (this.refused && request.path === '/follow') await sleep(20);
    return this.cut ? null : reply;
  }
}
