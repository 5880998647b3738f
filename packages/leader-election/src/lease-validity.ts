/** How long a lease is provably alive, by its owner's own clock. */

/** A lease's duration, and the safety margin for clocks that differ. */
export interface LeaseTiming {
  /** ms after the last renewal at which the store may end the lease */
  readonly ttlMs: number;
  /** share by which two steady clocks may differ */
  readonly clockDrift: number;
  /** ms subtracted on top of the drift */
  readonly marginMs: number;
}

/**
 * Tracks until when a lease is provably alive, by the owner's steady clock alone: jumps of the time of day have no
 * effect. The time counts from the moment at which the last successful renewal was sent, since the store counts
 * from a later one.
 */
export class LeaseValidity {
  #validUntil = -Infinity;
  #validSince = Infinity;

  constructor(private readonly timing: LeaseTiming) {}

  /** Records a renewal that was sent at `sentAt` and has succeeded; it is `now` (steady ms). */
  extend(sentAt: number, now: number): void {
    if (now >= this.#validUntil) this.#validSince = now;
    const { ttlMs, clockDrift, marginMs } = this.timing;
    this.#validUntil = sentAt + ttlMs * (1 - clockDrift) - marginMs;
  }

  /** Records that the lease has ended, or may have. */
  end(): void {
    this.#validUntil = -Infinity;
  }

  /** Whether the lease is provably alive at `now` (steady ms). */
  valid(now: number): boolean {
    return now < this.#validUntil;
  }

  /** Steady ms since which the lease has been valid without a break; Infinity before the first time. */
  get validSince(): number {
    return this.#validSince;
  }
}
