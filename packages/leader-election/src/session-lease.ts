/** The lease that keeps a process's membership alive, and its renewal. */
import { setTimeout as sleep } from 'node:timers/promises';
import { LeaseValidity, type LeaseTiming } from './lease-validity.js';
import type { Log } from './fencing-rejections.js';
import { StoreUnavailableError, type LeaseStore } from './store.js';

/** When a lease is renewed, and how long it lasts. */
export interface SessionLeaseTiming extends LeaseTiming {
  /** ms between two renewals */
  readonly renewMs: number;
  /** ms until the next attempt after a failure */
  readonly retryMs: number;
}

/** The key that represents one incarnation of a process as long as its lease is alive. */
export interface Registration {
  readonly key: string;
  readonly value: unknown;
}

/**
 * This process's lease in the store, and the key attached to it. While that key exists no other process may take
 * over what this incarnation leads or owns, and it exists at least as long as `valid` says.
 */
export class SessionLease {
  #id: number | null = null;
  readonly #validity: LeaseValidity;
  /** the epoch at which the key was written; Infinity while it is not written */
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

  /** Whether the lease is provably alive and the key written, at `now` (steady ms). */
  valid(now: number): boolean {
    return this.#validity.valid(now) && this.registeredAt !== Infinity;
  }

  /** Steady ms since which the lease has been valid without a break. */
  get validSince(): number {
    return this.#validity.validSince;
  }

  /** Renews the lease until `close` is called. */
  async run(): Promise<void> {
    while (!this.#closed) await sleep(await this.step());
  }

  /** One attempt to grant, renew or register; resolves with the ms until the next one. */
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
      this.#discardLease();
      return;
    }
    if (this.registeredAt === Infinity && !(await this.#register(this.#id))) return;
    this.#validity.extend(sentAt, this.now());
  }

  /**
   * The key names the incarnation, and a write without an answer is repeated with the same lease: a late copy of
   * it can then neither represent another incarnation nor attach the key to a lease that is not renewed.
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

  /** Ends the renewals; the lease then expires by itself. */
  close(): void {
    this.#closed = true;
  }
}
