import { setTimeout as sleep } from 'node:timers/promises';
import { LeaseValidity, type LeaseTiming } from './lease-validity.js';
import type { Log } from './fencing-rejections.js';
import { StoreUnavailableError, type LeaseStore } from './store.js';

/** When a lease is renewed. */
export interface SessionLeaseTiming extends LeaseTiming {
  /** ms between two renewals */
  readonly renewMs: number;
  /** ms until the next try after a failure */
  readonly retryMs: number;
}

/** The key that stands for one life of a process as long as its lease lives. */
export interface Registration {
  readonly key: string;
  readonly value: unknown;
}

/**
 * This process's lease on the store, and the key attached to it. While that key is there nobody may take
 * over what this life of the process holds, and it is there at least as long as `valid` says.
 */
export class SessionLease {
  #id: number | null = null;
  readonly #validity: LeaseValidity;
  /** epoch at which the key was written; what this process holds is known from then on */
  registeredAt = Infinity;
  #closed = false;

  constructor(
    private readonly store: LeaseStore,
    private readonly registration: Registration,
    private readonly timing: SessionLeaseTiming,
    /** the steady clock, ms */
    private readonly now: () => number,
    private readonly log: Log,
  ) {
    this.#validity = new LeaseValidity(timing);
  }

  /** True while the lease is provably alive and the key written. */
  valid(now: number): boolean {
    return this.#validity.valid(now) && this.registeredAt !== Infinity;
  }

  /** Steady ms since when the lease has been valid without a break. */
  get validSince(): number {
    return this.#validity.validSince;
  }

  /** Renews until `close`. */
  async run(): Promise<void> {
    while (!this.#closed) await sleep(await this.step());
  }

  /** One try to get, renew or register; returns the ms until the next one. */
  async step(): Promise<number> {
    const { renewMs, retryMs } = this.timing;
    const started = this.now();
    try {
      await this.#renewOrGrant(started);
    } catch (error) {
      if (!(error instanceof StoreUnavailableError)) throw error;
      this.log.debug({ error: error.message }, 'lease not renewed');
    }
    if (this.#id === null) return retryMs;
    return Math.max(retryMs, renewMs - (this.now() - started));
  }

  async #renewOrGrant(sentAt: number): Promise<void> {
    if (this.#id === null) {
      this.#id = await this.store.grant(this.timing.ttlMs);
      this.log.info({ lease: this.#id }, 'lease granted');
    } else if (!(await this.store.renew(this.#id))) {
      this.log.info({ lease: this.#id }, 'lease ended');
      this.#drop();
      return;
    }
    if (this.registeredAt === Infinity && !(await this.#register(this.#id))) return;
    this.#validity.extend(sentAt, this.now());
  }

  /**
   * The key names the incarnation, and a write without an answer is repeated with the same lease: a late
   * copy of it can then neither stand for another life of this process nor tie the key to a lease that
   * nobody renews.
   */
  async #register(id: number): Promise<boolean> {
    const { key, value } = this.registration;
    const epoch = await this.store.register(key, value, id);
    if (epoch === null) this.#drop();
    else this.registeredAt = epoch;
    return epoch !== null;
  }

  #drop(): void {
    this.#id = null;
    this.registeredAt = Infinity;
    this.#validity.end();
  }

  /** Renews no more; the lease runs out by itself. */
  close(): void {
    this.#closed = true;
  }
}
