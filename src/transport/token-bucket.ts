/** A token bucket that says how long to wait. Pure: the time is passed in, in steady ms. */

/** Tokens flow in at a rate, up to a capacity. A cost over the capacity needs a full bucket and leaves a debt. */
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

  /** Changes the rate from now on. */
  setRate(tokensPerSecond: number, capacity: number, now: number): void {
    this.#refill(now);
    this.tokensPerSecond = tokensPerSecond;
    this.capacity = capacity;
  }

  /** Takes `cost` tokens if they are there; returns whether it has. */
  tryTake(cost: number, now: number): boolean {
    this.#refill(now);
    if (now < this.#blockedUntil) return false;
    const needed = Math.min(cost, this.capacity);
    if (this.#tokens < needed) return false;
    this.#tokens -= cost;
    return true;
  }

  /** ms until one call of `cost` tokens may succeed. */
  waitMs(cost: number, now: number): number {
    return this.backlogWaitMs(Math.min(cost, this.capacity), now);
  }

  /** ms until all of several calls may have succeeded, which cost `cost` tokens together. */
  backlogWaitMs(cost: number, now: number): number {
    this.#refill(now);
    const missing = Math.max(0, cost - this.#tokens);
    return Math.max((missing / this.tokensPerSecond) * 1000, this.#blockedUntil - now, 0);
  }

  /** Takes nothing for so long, since the budget that is shared with other nodes is spent. */
  block(ms: number, now: number): void {
    this.#blockedUntil = Math.max(this.#blockedUntil, now + ms);
  }

  #refill(now: number): void {
    const passedS = Math.max(0, now - this.#refilledAt) / 1000;
    this.#tokens = Math.min(this.capacity, this.#tokens + passedS * this.tokensPerSecond);
    this.#refilledAt = now;
  }
}
