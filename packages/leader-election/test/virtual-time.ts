/** Simulated time for deterministic tests. */
import { setImmediate as nextTurn } from 'node:timers/promises';

interface ScheduledCall {
  /** true time, ms */
  readonly at: number;
  /** position among all scheduled calls, which decides between calls at the same time */
  readonly order: number;
  readonly run: () => void;
}

/** A scheduler whose clock jumps from call to call, in the same order in each run. */
export class VirtualTime {
  #now = 0;
  #order = 0;
  readonly #events: ScheduledCall[] = [];

  /** The true time, ms, from which the nodes' clocks may drift. */
  get now(): number {
    return this.#now;
  }

  /** Schedules a call after `ms`. */
  after(ms: number, run: () => void): void {
    this.#order += 1;
    const event = { at: this.#now + ms, order: this.#order, run };
    const later = this.#events.findIndex((other) => other.at > event.at);
    this.#events.splice(later < 0 ? this.#events.length : later, 0, event);
  }

  /** Schedules a call every `ms`, without end. */
  every(ms: number, run: () => void): void {
    this.after(ms, () => {
      run();
      this.every(ms, run);
    });
  }

  /** Runs all calls scheduled up to `end`, and after each call the promise reactions that it triggers. */
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
