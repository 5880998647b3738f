/** How far a clock may be off, and what is kept back for it. */
export interface LeaseTiming {
  /** ms after the last renewal at which the store may end the lease */
  readonly ttlMs: number;
  /** share by which two steady clocks may differ */
  readonly clockDrift: number;
  /** ms kept back on top of the drift */
  readonly marginMs: number;
}

/**
 * How long a lease is provably alive, by the holder's steady clock alone: the time of day may jump without
 * any effect. It counts from the moment at which the last renewal that succeeded was sent, since the store
 * counts from a later one.
 */
export class LeaseValidity {
  #validUntil = -Infinity;
  #validSince = Infinity;

  constructor(private readonly timing: LeaseTiming) {}

  /** A renewal that was sent at `sentAt` has succeeded; it is `now` (steady ms). */
  extend(sentAt: number, now: number): void {
    if (now >= this.#validUntil) this.#validSince = now;
    const { ttlMs, clockDrift, marginMs } = this.timing;
    this.#validUntil = sentAt + ttlMs * (1 - clockDrift) - marginMs;
  }

  /** The lease has ended, or may have. */
  end(): void {
    this.#validUntil = -Infinity;
  }

  /** True while the lease is provably alive, whatever the store would say now. */
  valid(now: number): boolean {
    return now < this.#validUntil;
  }

  /** Steady ms since when the lease has been valid without a break; Infinity before the first time. */
  get validSince(): number {
    return this.#validSince;
  }
}
