import { setImmediate as turn } from 'node:timers/promises';

interface Event {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** Time that passes from event to event, the same way in each run. */
export class VirtualTime {
  #now = 0;
  #order = 0;
  readonly #events: Event[] = [];

  /** true time, ms */
  get now(): number {
    return this.#now;
  }

  after(ms: number, run: () => void): void {
    this.#order += 1;
    const event = { at: this.#now + ms, order: this.#order, run };
    const later = this.#events.findIndex((other) => other.at > event.at);
    this.#events.splice(later < 0 ? this.#events.length : later, 0, event);
  }

  every(ms: number, run: () => void): void {
    this.after(ms, () => {
      run();
      this.every(ms, run);
    });
  }

  /** Runs all events up to a moment, and what they set free in between. */
  async runUntil(end: number): Promise<void> {
    while (this.#events.length > 0 && this.#events[0]!.at <= end) {
      const event = this.#events.shift()!;
      this.#now = event.at;
      event.run();
      await turn();
    }
    this.#now = end;
  }
}
