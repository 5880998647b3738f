/** A key-value store with leases on virtual time, whose network may delay, lose and repeat calls. */
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

/** ms after which a caller stops waiting */
const CALL_TIMEOUT_MS = 2000;

/** What happens to the calls of one client; each function is asked anew for every call. */
export interface NetworkFaults {
  /** ms that a message is on its way */
  delayMs(): number;
  /** what else happens to the call */
  callOutcome(): 'normal' | 'answer_lost' | 'carried_out_late';
  /** ms after which a late call is carried out */
  lateByMs(): number;
  /** whether the store refuses calls of this client alone */
  isRefused(): boolean;
}

/** Compare-and-swap, leases and outages, as the real store has them. */
export class SimulatedStore {
  readonly items = new Map<string, Item>();
  readonly #leases = new Map<number, { readonly ttlMs: number; until: number }>();
  #epoch = 0;
  #lastLease = 0;
  #outage = false;
  /** told of every committed transaction */
  readonly #observers: ((writes: readonly Write[], epoch: number) => void)[] = [];

  constructor(readonly time: VirtualTime) {}

  get epoch(): number {
    return this.#epoch;
  }

  observe(observer: (writes: readonly Write[], epoch: number) => void): void {
    this.#observers.push(observer);
  }

  /** Begins or ends an outage; at its end every lease has its full time again. */
  set outage(outage: boolean) {
    this.#outage = outage;
    if (outage) return;
    for (const lease of this.#leases.values()) lease.until = this.time.now + lease.ttlMs;
  }

  /** Ends leases that have expired, and deletes the keys that are attached to them. */
  expire(): void {
    if (this.#outage) return;
    for (const [id, { until }] of this.#leases) {
      if (until > this.time.now) continue;
      this.#leases.delete(id);
      const held = [...this.items].filter(([, item]) => item.lease === id);
      if (held.length > 0) this.#commit(held.map(([key]) => ({ drop: key })));
    }
  }

  compareAndSwap(guards: readonly Guard[], writes: readonly Write[]): CompareAndSwapResult {
    const failed = guards.filter(
      ({ key, revision }) => (this.items.get(key)?.revision ?? 0) !== revision,
    );
    if (failed.length > 0) return { ok: false, failed: failed.map(({ key }) => key) };
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
  clientOf(
    network: NetworkFaults,
    resume: (work: () => void) => void,
  ): CompareAndSwapStore & LeaseStore {
    const call = <T>(execute: () => T) => this.#call(network, resume, execute);
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

  #call<T>(
    network: NetworkFaults,
    resume: (work: () => void) => void,
    execute: () => T,
  ): Promise<T> {
    return new Promise((resolve, reject) => {
      const answer = (work: () => void) => {
        this.time.after(network.delayMs(), () => {
          resume(work);
        });
      };
      const lost = () => {
        reject(new StoreUnavailableError('no answer'));
      };
      const arrive = () => {
        if (this.#outage || network.isRefused())
          answer(() => {
            reject(new StoreUnavailableError('503'));
          });
        else {
          const result = execute();
          answer(() => {
            resolve(result);
          });
        }
      };
      const fate = network.callOutcome();
      if (fate === 'normal') this.time.after(network.delayMs(), arrive);
      else {
        this.time.after(CALL_TIMEOUT_MS, () => {
          resume(lost);
        });
        const ms = fate === 'carried_out_late' ? network.lateByMs() : network.delayMs();
        this.time.after(ms, () => {
          if (!this.#outage && !network.isRefused()) execute();
        });
      }
    });
  }
}
