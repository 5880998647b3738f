import {
  StoreUnavailableError,
  type Guard,
  type LeaseStore,
  type CompareAndSwapResult,
  type CompareAndSwapStore,
  type Versioned,
  type Write,
} from '@sumacstep/leader-election';
import type { VirtualTime } from './virtual-time.js';

interface Item extends Versioned<unknown> {
  readonly lease: number | null;
}

/** ms after which a caller gives up */
const CALL_MS = 2000;

/** How calls of one client fare; each is asked anew for every call. */
export interface Weather {
  /** ms that a message takes */
  delayMs(): number;
  /** what happens to the call besides */
  fate(): 'normal' | 'answer_lost' | 'carried_out_late';
  /** ms that a call takes that is carried out late */
  lateMs(): number;
  /** calls of this client alone are refused */
  refused(): boolean;
}

/** A store as the protocol describes it, on virtual time. */
export class SimulatedStore {
  readonly items = new Map<string, Item>();
  readonly #leases = new Map<number, { readonly ttlMs: number; until: number }>();
  #epoch = 0;
  #lastLease = 0;
  #out = false;
  /** told of every committed transaction */
  readonly #observers: ((writes: readonly Write[], epoch: number) => void)[] = [];

  constructor(readonly time: VirtualTime) {}

  get epoch(): number {
    return this.#epoch;
  }

  observe(observer: (writes: readonly Write[], epoch: number) => void): void {
    this.#observers.push(observer);
  }

  /** An outage begins or ends; at its end every lease has its full time again. */
  set out(out: boolean) {
    this.#out = out;
    if (out) return;
    for (const lease of this.#leases.values()) lease.until = this.time.now + lease.ttlMs;
  }

  /** Ends leases whose time is over. */
  expire(): void {
    if (this.#out) return;
    for (const [id, { until }] of this.#leases) {
      if (until > this.time.now) continue;
      this.#leases.delete(id);
      const held = [...this.items].filter(([, item]) => item.lease === id);
      if (held.length > 0) this.#commit(held.map(([key]) => ({ drop: key })));
    }
  }

  compareAndSwap(guards: readonly Guard[], writes: readonly Write[]): CompareAndSwapResult {
    const failed = guards.filter((c) => (this.items.get(c.key)?.revision ?? 0) !== c.revision);
    if (failed.length > 0) return { ok: false, failed: failed.map((c) => c.key) };
    return { ok: true, epoch: this.#commit(writes) };
  }

  #commit(writes: readonly Write[]): number {
    this.#epoch += 1;
    for (const write of writes) {
      if ('drop' in write) this.items.delete(write.drop);
      else {
        const item = { value: write.value, revision: this.#epoch, lease: write.lease ?? null };
        this.items.set(write.put, item);
      }
    }
    for (const observer of this.#observers) observer(writes, this.#epoch);
    return this.#epoch;
  }

  /** The store as one client reaches it. Answers are handled by `resume`, which may wait. */
  client(weather: Weather, resume: (work: () => void) => void): CompareAndSwapStore & LeaseStore {
    const call = <T>(execute: () => T) => this.#call(weather, resume, execute);
    return {
      compareAndSwap: (_urgency, guards, writes) => call(() => this.compareAndSwap(guards, writes)),
      grant: (ttlMs) => call(() => this.#grant(ttlMs)),
      renew: (id) => call(() => this.#renew(id)),
      register: (key, value, lease) =>
        call(() => (this.#leases.has(lease) ? this.#commit([{ put: key, value, lease }]) : null)),
    };
  }

  #grant(ttlMs: number): number {
    this.#lastLease += 1;
    this.#leases.set(this.#lastLease, { ttlMs, until: this.time.now + ttlMs });
    return this.#lastLease;
  }

  #renew(id: number): boolean {
    const lease = this.#leases.get(id);
    if (lease !== undefined) lease.until = this.time.now + lease.ttlMs;
    return lease !== undefined;
  }

  #call<T>(weather: Weather, resume: (work: () => void) => void, execute: () => T): Promise<T> {
    return new Promise((resolve, reject) => {
      const answer = (work: () => void) => this.time.after(weather.delayMs(), () => resume(work));
      const lost = () => reject(new StoreUnavailableError('no answer'));
      const arrive = () => {
        if (this.#out || weather.refused()) answer(() => reject(new StoreUnavailableError('503')));
        else {
          const result = execute();
          answer(() => resolve(result));
        }
      };
      const fate = weather.fate();
      if (fate === 'normal') this.time.after(weather.delayMs(), arrive);
      else {
        this.time.after(CALL_MS, () => resume(lost));
        const ms = fate === 'carried_out_late' ? weather.lateMs() : weather.delayMs();
        this.time.after(ms, () => {
          if (!this.#out && !weather.refused()) execute();
        });
      }
    });
  }
}
