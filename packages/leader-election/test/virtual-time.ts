/** Simulated time. */
import { setImmediate as nextTurn } from 'node:timers/promises';

interface ScheduledCall {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** A scheduler whose clock jumps from event to event, in the same order in each run. */
export class VirtualTime {
  #now = 0;
  #order = 0;
  readonly #events: ScheduledCall[] = [];

  /** True time, ms. */
  get now(): number {
    return this.#now;
  }

  /** Schedules a call. */
  after(ms: number, run: () => void): void {
    this.#order += 1;
    const event = { at: this.#now + ms, order: this.#order, run };
    const later = this.#events.findIndex((other) => other.at > event.at);
    this.#events.splice(later < 0 ? this.#events.length : later, 0, event);
  }

  /** Schedules a call each `ms`, for ever. */
  every(ms: number, run: () => void): void {
    this.after(ms, () => {
      run();
      this.every(ms, run);
    });
  }

  /** Runs all events up to `end`, and the promises that they resolve in between. */
  async runUntil(end: number): Promise<void> {
    while (this.#events.length > 0 && this.#events[0]!.at <= end) {
      const event = this.#events.shift()!;
      this.#now = event.at;
      event.run();
      await nextTurn();
    }
    this.#now = end;
  }
}
