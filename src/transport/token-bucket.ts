/** A token bucket rate limiter. It reads no clock: callers pass the time of the monotonic clock in ms. */

/**
 * A token bucket, refilled at a constant rate up to its capacity. A cost above the capacity requires a full bucket and
 * leaves a negative balance.
 */
export class TokenBucket {
  #tokens: number;
  #refilledAt: number;
  #blockedUntil = 0;

  constructor(
    private tokensPerSecond: number,
    private capacity: number,
    now: number,
  ) {
    this.#tokens = capacity;
    this.#refilledAt = now;
  }

  /** Changes the rate and the capacity from `now` on. */
  setRate(tokensPerSecond: number, capacity: number, now: number): void {
    this.#refill(now);
    this.tokensPerSecond = tokensPerSecond;
    this.capacity = capacity;
  }

  /** Takes `cost` tokens if they are available; returns whether they were taken. */
  tryTake(cost: number, now: number): boolean {
    this.#refill(now);
    if (now < this.#blockedUntil) return false;
    const needed = Math.min(cost, this.capacity);
    if (this.#tokens < needed) return false;
    this.#tokens -= cost;
    return true;
  }

  /** Returns the time in ms until a call that costs `cost` tokens can succeed. */
  waitMs(cost: number, now: number): number {
    return this.backlogWaitMs(Math.min(cost, this.capacity), now);
  }

  /** Returns the time in ms until several calls with a total cost of `cost` tokens can all have succeeded. */
  backlogWaitMs(cost: number, now: number): number {
    this.#refill(now);
    const missing = Math.max(0, cost - this.#tokens);
    return Math.max((missing / this.tokensPerSecond) * 1000, this.#blockedUntil - now, 0);
  }

  /** Refuses tokens for the next `ms`, because the budget that is shared with other nodes is used up. */
  block(ms: number, now: number): void {
    this.#blockedUntil = Math.max(this.#blockedUntil, now + ms);
  }

  #refill(now: number): void {
    const passedS = Math.max(0, now - this.#refilledAt) / 1000;
    this.#tokens = Math.min(this.capacity, this.#tokens + passedS * this.tokensPerSecond);
    this.#refilledAt = now;
  }
}
