/** A simulated key-value store with leases on virtual time, whose network may delay calls and lose answers. */
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

/** Time after which a caller stops waiting for an answer. */
const CALL_TIMEOUT_MS = 2000;

/** The faults of one client's network; each method is called anew for every call to the store. */
export interface NetworkFaults {
  /** returns the latency of a message */
  delayMs(): number;
  /** returns how the call ends: with an answer, without one, or without one and executed late */
  callOutcome(): 'normal' | 'answer_lost' | 'carried_out_late';
  /** returns the ms after which a late call is executed */
  lateByMs(): number;
  /** returns whether the store refuses the calls of this client */
  isRefused(): boolean;
}

/** Provides compare-and-swap, leases and outages with the semantics of the real store. */
export class SimulatedStore {
  readonly items = new Map<string, Item>();
  readonly #leases = new Map<number, { readonly ttlMs: number; until: number }>();
  #epoch = 0;
  #lastLease = 0;
  #outage = false;
  /** callbacks that receive every committed transaction */
  readonly #observers: ((writes: readonly Write[], epoch: number) => void)[] = [];

  constructor(readonly time: VirtualTime) {}

  /** The epoch of the last committed transaction. */
  get epoch(): number {
    return this.#epoch;
  }

  /** Registers a callback for every committed transaction. */
  observe(observer: (writes: readonly Write[], epoch: number) => void): void {
    this.#observers.push(observer);
  }

  /** Begins or ends an outage; at its end, every lease gets its full duration again. */
  set outage(outage: boolean) {
    this.#outage = outage;
    if (outage) return;
    for (const lease of this.#leases.values()) lease.until = this.time.now + lease.ttlMs;
  }

  /** Ends the leases that have expired, and deletes the keys that are attached to them. */
  expire(): void {
    if (this.#outage) return;
    for (const [id, { until }] of this.#leases) {
      if (until > this.time.now) continue;
      this.#leases.delete(id);
      const attachedItems = [...this.items].filter(([, item]) => item.lease === id);
      if (attachedItems.length > 0) this.#commit(attachedItems.map(([key]) => ({ drop: key })));
    }
  }

  /** Applies a transaction at once if all its guards hold. */
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

  /** Returns a client of the store. `runWhenAwake` runs the client's reaction to an answer, possibly later. */
  clientOf(
    network: NetworkFaults,
    runWhenAwake: (work: () => void) => void,
  ): CompareAndSwapStore & LeaseStore {
    const call = <T>(execute: () => T) => this.#call(network, runWhenAwake, execute);
    return {
      compareAndSwap: (_priority, guards, writes) =>
        call(() => this.compareAndSwap(guards, writes)),
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
    runWhenAwake: (work: () => void) => void,
    execute: () => T,
  ): Promise<T> {
    return new Promise((resolve, reject) => {
      const answer = (work: () => void) => {
        this.time.after(network.delayMs(), () => {
          runWhenAwake(work);
        });
      };
      const rejectUnanswered = () => {
        reject(new StoreUnavailableError('no answer'));
      };
      const executeAndAnswer = () => {
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
      const callOutcome = network.callOutcome();
      if (callOutcome === 'normal') this.time.after(network.delayMs(), executeAndAnswer);
      else {
        this.time.after(CALL_TIMEOUT_MS, () => {
          runWhenAwake(rejectUnanswered);
        });
        const executionDelayMs =
          callOutcome === 'carried_out_late' ? network.lateByMs() : network.delayMs();
        this.time.after(executionDelayMs, () => {
          if (!this.#outage && !network.isRefused()) execute();
        });
      }
    });
  }
}
