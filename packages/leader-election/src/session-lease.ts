/** The lease on which a process's membership depends, and its renewal. */
import { setTimeout as sleep } from 'node:timers/promises';
import { LeaseValidity, type LeaseTiming } from './lease-validity.js';
import type { Log } from './fencing-rejections.js';
import { StoreUnavailableError, type LeaseStore } from './store.js';

/** The duration of a lease, and the intervals of its renewal. */
export interface SessionLeaseTiming extends LeaseTiming {
  /** interval between two renewals */
  readonly renewMs: number;
  /** minimum delay between two attempts, which also applies after an attempt that left no lease */
  readonly retryMs: number;
}

/** The key that represents one incarnation of a process while its lease is alive. */
export interface Registration {
  readonly key: string;
  readonly value: unknown;
}

/**
 * Keeps this process's lease in the store alive, with the key that is attached to it. While the key exists, no other
 * process may take over what this incarnation leads or owns. The key exists at least as long as `valid` returns true.
 */
export class SessionLease {
  /** the lease's id; null while there is no lease */
  #id: number | null = null;
  readonly #validity: LeaseValidity;
  /** the store's epoch at which the key was written; Infinity while the key is not written */
  registeredAt = Infinity;
  #closed = false;

  constructor(
    private readonly store: LeaseStore,
    private readonly registration: Registration,
    private readonly timing: SessionLeaseTiming,
    /** reads the monotonic clock, ms */
    private readonly now: () => number,
    private readonly log: Log,
  ) {
    this.#validity = new LeaseValidity(timing);
  }

  /** Returns whether the lease is provably alive at `now` (monotonic ms) and the key is written. */
  valid(now: number): boolean {
    return this.#validity.valid(now) && this.registeredAt !== Infinity;
  }

  /** Returns the monotonic ms since which the lease has been valid without interruption. */
  get validSince(): number {
    return this.#validity.validSince;
  }

  /** Renews the lease until `close` is called. */
  async run(): Promise<void> {
    while (!this.#closed) await sleep(await this.step());
  }

  /**
   * Makes one attempt to obtain or renew the lease and to write the key; resolves with the ms until the next attempt.
   */
  async step(): Promise<number> {
    const { renewMs, retryMs } = this.timing;
    const startedAt = this.now();
    try {
      await this.#renewOrGrant(startedAt);
    } catch (error) {
      if (!(error instanceof StoreUnavailableError)) throw error;
      this.log.debug({ error: error.message }, 'lease not renewed');
    }
    if (this.#id === null) return retryMs;
    return Math.max(retryMs, renewMs - (this.now() - startedAt));
  }

  async #renewOrGrant(sentAt: number): Promise<void> {
    if (this.#id === null) {
      this.#id = await this.store.grant(this.timing.ttlMs);
      this.log.info({ lease: this.#id }, 'lease granted');
    } else if (!(await this.store.renew(this.#id))) {
      this.log.info({ lease: this.#id }, 'lease ended');
      this.#discardLease();
      return;
    }
    if (this.registeredAt === Infinity && !(await this.#register(this.#id))) return;
    this.#validity.extend(sentAt, this.now());
  }

  /**
   * Writes the key; resolves with false if the lease has ended. The key contains the incarnation, and a write without
   * an answer is repeated with the same lease. So a copy of the write that is applied late can neither represent
   * another incarnation nor attach the key to a lease that is not renewed.
   */
  async #register(id: number): Promise<boolean> {
    const { key, value } = this.registration;
    const epoch = await this.store.register(key, value, id);
    if (epoch === null) this.#discardLease();
    else this.registeredAt = epoch;
    return epoch !== null;
  }

  #discardLease(): void {
    this.#id = null;
    this.registeredAt = Infinity;
    this.#validity.end();
  }

  /** Stops renewing the lease, which then expires. */
  close(): void {
    this.#closed = true;
  }
}
