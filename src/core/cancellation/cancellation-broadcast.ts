/**
 * Gossip of confirmed cancellations, sending side. An owner whose requests the store refuses learns of
 * cancellations from its peers. Guards against this gap: the owner alone is refused, another node
 * confirms cancellations, then the store is out for all for longer than a cancellation may take, while
 * the workers keep sending heartbeats to the owner.
 */
import type { Cancellation } from './cancellation.js';
import { GOSSIPED_CANCELLATIONS_LIMIT } from './constants.js';

interface PendingCancellation {
  readonly cancellation: Cancellation;
  readonly addedAt: number;
  /** when the first message that names it was sent */
  firstSentAt: number | null;
}

/** Repeats every cancellation known here in each message until every peer has acknowledged it. */
export class CancellationBroadcast {
  /** by uid */
  readonly #pending = new Map<string, PendingCancellation>();
  /** by peer: send time of our newest message that it acknowledged */
  readonly #acknowledged = new Map<string, number>();
  #overflowAt = -Infinity;

  constructor(
    private readonly peers: readonly string[],
    private readonly cancelMs: number,
  ) {}

  /** Queues a cancellation for the coming messages; one that is queued already stays as it is. */
  add(cancellation: Cancellation, now: number): void {
    if (this.peers.length === 0 || this.#pending.has(cancellation.uid)) return;
    if (this.#pending.size >= GOSSIPED_CANCELLATIONS_LIMIT) {
      this.#overflowAt = now;
      return;
    }
    this.#pending.set(cancellation.uid, { cancellation, addedAt: now, firstSentAt: null });
  }

  /**
   * What the message that leaves at `sentAt` has to name. A peer that has not acknowledged a cancellation
   * after twice the time for one has let its worker leases expire, so the cancellation is dropped.
   */
  nextMessage(sentAt: number): Cancellation[] {
    for (const [uid, pending] of this.#pending) {
      if (sentAt - pending.addedAt > 2 * this.cancelMs) this.#pending.delete(uid);
      else pending.firstSentAt ??= sentAt;
    }
    return [...this.#pending.values()].map((pending) => pending.cancellation);
  }

  /** Whether some peer has not acknowledged the cancellation yet. */
  isPending(uid: string): boolean {
    return this.#pending.has(uid);
  }

  /** Whether `nextMessage` names every cancellation that peers may not know yet. */
  isComplete(now: number): boolean {
    return now - this.#overflowAt > 2 * this.cancelMs;
  }

  /** The peer has received our message of `sentAt`, and with it all that it named. */
  acknowledge(peer: string, sentAt: number): void {
    this.#acknowledged.set(peer, Math.max(sentAt, this.#acknowledged.get(peer) ?? -Infinity));
    const acknowledgedByAll = Math.min(
      ...this.peers.map((name) => this.#acknowledged.get(name) ?? -Infinity),
    );
    for (const [uid, { firstSentAt }] of this.#pending) {
      if (firstSentAt !== null && firstSentAt <= acknowledgedByAll) this.#pending.delete(uid);
    }
  }
}
