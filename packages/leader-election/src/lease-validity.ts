/** Calculation of how long a lease is provably alive, by its owner's own clock. */

/** The duration of a lease, and the safety margins for clocks that differ. */
export interface LeaseTiming {
  /** time from the last renewal until the store may end the lease */
  readonly ttlMs: number;
  /** largest relative difference between the rates of two monotonic clocks, as a fraction */
  readonly clockDrift: number;
  /** time subtracted from the lease's duration in addition to the drift */
  readonly marginMs: number;
}

/**
 * Tracks until when a lease is provably alive. It uses only the owner's monotonic clock, so jumps of the time of day have
 * no effect. The lease's duration counts from the moment when the last successful renewal was sent, because the store
 * starts to count later, when the renewal arrives.
 */
export class LeaseValidity {
  #validUntil = -Infinity;
  #validSince = Infinity;

  constructor(private readonly timing: LeaseTiming) {}

  /** Records a successful renewal that was sent at `sentAt` and answered at `now` (both monotonic ms). */
  extend(sentAt: number, now: number): void {
    if (now >= this.#validUntil) this.#validSince = now;
    const { ttlMs, clockDrift, marginMs } = this.timing;
    this.#validUntil = sentAt + ttlMs * (1 - clockDrift) - marginMs;
  }

  /** Records that the lease has ended or may have ended. */
  end(): void {
    this.#validUntil = -Infinity;
  }

  /** Returns whether the lease is provably alive at `now` (monotonic ms). */
  valid(now: number): boolean {
    return now < this.#validUntil;
  }

  /**
   * Returns the monotonic ms since which the lease has been valid without interruption; Infinity before the first
   * renewal.
   */
  get validSince(): number {
    return this.#validSince;
  }
}
