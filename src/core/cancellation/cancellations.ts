import { CLOCK_DRIFT } from '../../constants.js';
import { LEASE_WITHHOLDING_MARGIN_MS, GOSSIPED_CANCELLATIONS_LIMIT } from './constants.js';

/**
 * What the nodes tell each other of confirmed cancellations, so that an owner whom the state service
 * refuses hears of them, and knows up to when it has heard of all. Guards against the gap: the owner
 * alone is refused, another node confirms cancellations, then the state service is out for all for
 * longer than a cancellation may take, while the workers keep reporting to the owner.
 */

/** A cancellation as the state service has it; `epoch` is that of its transaction. */
export interface Cancellation {
  readonly uid: string;
  readonly tasks: number;
  readonly done: number;
  readonly epoch: number;
}

interface Told {
  readonly cancellation: Cancellation;
  readonly learnedAt: number;
  /** when the first message that names it was sent */
  sentAt: number | null;
}

/** The broadcasting side: every cancellation known here is repeated until every other node has it. */
export class CancellationBroadcast {
  readonly #open = new Map<string, Told>();
  readonly #acknowledged = new Map<string, number>();
  #overflowAt = -Infinity;

  constructor(
    private readonly others: readonly string[],
    private readonly cancelMs: number,
  ) {}

  learned(cancellation: Cancellation, now: number): void {
    if (this.others.length === 0 || this.#open.has(cancellation.uid)) return;
    if (this.#open.size >= GOSSIPED_CANCELLATIONS_LIMIT) {
      this.#overflowAt = now;
      return;
    }
    this.#open.set(cancellation.uid, { cancellation, learnedAt: now, sentAt: null });
  }

  /**
   * What the message that leaves now has to name. After twice the time for a cancellation a node that
   * still has not acknowledged one has let its worker leases end.
   */
  tell(now: number): Cancellation[] {
    for (const [uid, t] of this.#open) {
      if (now - t.learnedAt > 2 * this.cancelMs) this.#open.delete(uid);
      else t.sentAt ??= now;
    }
    return [...this.#open.values()].map((t) => t.cancellation);
  }

  has(uid: string): boolean {
    return this.#open.has(uid);
  }

  /** Whether `tell` names all that others may not know yet. */
  complete(now: number): boolean {
    return now - this.#overflowAt > 2 * this.cancelMs;
  }

  /** The node has had our message of `sentAt`, and with it all that it named. */
  acknowledged(node: string, sentAt: number): void {
    this.#acknowledged.set(node, Math.max(sentAt, this.#acknowledged.get(node) ?? -Infinity));
    const least = Math.min(...this.others.map((n) => this.#acknowledged.get(n) ?? -Infinity));
    for (const [uid, t] of this.#open) {
      if (t.sentAt !== null && t.sentAt <= least) this.#open.delete(uid);
    }
  }
}

interface Coverage {
  incarnation: string;
  /** by its messages, all that this life confirmed before is known here (our clock) */
  until: number;
  /** earlier lives, or messages that did not name all, leave a hole that only a read at or after this closes */
  hole: number;
  /** what was known without a hole before the present one */
  before: number;
}

/** The receiving side: up to when every cancellation confirmed by any node is known here. */
export class CancellationReceiver {
  readonly #of = new Map<string, Coverage>();

  constructor(private readonly others: readonly string[]) {}

  /**
   * A message of another node. It was sent after that node had ours of `echoed`, so it names, or named
   * before, everything that it had confirmed by then.
   */
  heard(
    from: { node: string; incarnation: string; complete: boolean; echoed: number },
    readAt: number,
    now: number,
  ): void {
    let c = this.#of.get(from.node);
    if (c?.incarnation !== from.incarnation || !from.complete) {
      // An earlier life may have ended right after it confirmed something, before it told anybody.
      const before = c === undefined ? -Infinity : this.#covered(c, readAt);
      c = { incarnation: from.incarnation, until: -Infinity, hole: now, before };
      this.#of.set(from.node, c);
    }
    if (from.complete) c.until = Math.max(c.until, from.echoed);
  }

  #covered(c: Coverage, readAt: number): number {
    return readAt >= c.hole ? Math.max(c.before, c.until) : c.before;
  }

  /** `readAt`: everything that was committed before is known by a read of the state service. */
  knownUntil(readAt: number): number {
    let least = Infinity;
    for (const node of this.others) {
      const c = this.#of.get(node);
      least = Math.min(least, c === undefined ? -Infinity : this.#covered(c, readAt));
    }
    return Math.max(readAt, least);
  }
}

/**
 * For how long after `knownUntil` reports may be answered: a cancellation confirmed right after it is
 * not known, and the lease that the answer renews must end in time for it.
 */
export const renewableMs = (cancelMs: number, leaseMs: number): number =>
  cancelMs * (1 - CLOCK_DRIFT) - leaseMs * (1 + CLOCK_DRIFT) - LEASE_WITHHOLDING_MARGIN_MS;
