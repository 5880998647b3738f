/**
 * A token bucket with classes of waiters: when more is asked than can be done, the more important
 * calls go first. Pure: time is passed in.
 */
export class TokenBucket {
  #tokens: number;
  #at: number;
  #blockedUntil = 0;

  constructor(
    private perSecond: number,
    private most: number,
    now: number,
  ) {
    this.#tokens = most;
    this.#at = now;
  }

  setRate(perSecond: number, most: number, now: number): void {
    this.#refill(now);
    this.perSecond = perSecond;
    this.most = most;
  }

  #refill(now: number): void {
    const passed = Math.max(0, now - this.#at) / 1000;
    this.#tokens = Math.min(this.most, this.#tokens + passed * this.perSecond);
    this.#at = now;
  }

  /** Takes `cost` tokens if they are there. A cost over the bucket's size needs a full bucket. */
  take(cost: number, now: number): boolean {
    this.#refill(now);
    if (now < this.#blockedUntil) return false;
    const needed = Math.min(cost, this.most);
    if (this.#tokens < needed) return false;
    this.#tokens -= cost;
    return true;
  }

  /** ms until `cost` tokens may be there; of several calls together, until all of them are. */
  waitMs(cost: number, now: number, together = false): number {
    this.#refill(now);
    const missing = Math.max(0, (together ? cost : Math.min(cost, this.most)) - this.#tokens);
    return Math.max((missing / this.perSecond) * 1000, this.#blockedUntil - now, 0);
  }

  /** Somebody else spent the shared budget: wait. */
  block(ms: number, now: number): void {
    this.#blockedUntil = Math.max(this.#blockedUntil, now + ms);
  }
}
