/**
 * The sending side of the gossip of confirmed cancellations. Through it, a shard owner whose requests the store
 * refuses learns of cancellations from its peers.
 *
 * It guards against this sequence of events: the store refuses the requests of one owner only, another node confirms
 * cancellations, and then the store is unavailable to all nodes for longer than a cancellation may take. Meanwhile
 * the workers keep sending heartbeats to the owner that does not know of the cancellations.
 */
import type { Cancellation } from './cancellation.js';
import { GOSSIPED_CANCELLATIONS_LIMIT } from './constants.js';

/** A cancellation that some peer has not acknowledged yet. Times are in monotonic ms. */
interface PendingCancellation {
  readonly cancellation: Cancellation;
  readonly addedAt: number;
  /** when the first message that names the cancellation was sent; null before that */
  firstSentAt: number | null;
}

/** Names every added cancellation in each message until all peers have acknowledged one that names it. */
export class CancellationBroadcast {
  /** by uid of the job */
  readonly #pending = new Map<string, PendingCancellation>();
  /** by peer: send time of this node's newest message that the peer has acknowledged */
  readonly #acknowledged = new Map<string, number>();
  /** when a cancellation was last left out because of the limit */
  #overflowAt = -Infinity;

  constructor(
    private readonly peers: readonly string[],
    private readonly cancelMs: number,
  ) {}

  /** Adds a cancellation to all following messages; does nothing if it is pending already. */
  add(cancellation: Cancellation, now: number): void {
    if (this.peers.length === 0 || this.#pending.has(cancellation.uid)) return;
    if (this.#pending.size >= GOSSIPED_CANCELLATIONS_LIMIT) {
      this.#overflowAt = now;
      return;
    }
    this.#pending.set(cancellation.uid, { cancellation, addedAt: now, firstSentAt: null });
  }

  /**
   * Returns the cancellations that the message sent at `sentAt` has to name. Cancellations added more than
   * `2 * cancelMs` ago are dropped: a peer that has not acknowledged one by then has let its worker leases expire.
   */
  nextMessage(sentAt: number): Cancellation[] {
    for (const [uid, pending] of this.#pending) {
      if (sentAt - pending.addedAt > 2 * this.cancelMs) this.#pending.delete(uid);
      else pending.firstSentAt ??= sentAt;
    }
    return [...this.#pending.values()].map((pending) => pending.cancellation);
  }

  /** Returns whether some peer has not acknowledged the cancellation yet. */
  isPending(uid: string): boolean {
    return this.#pending.has(uid);
  }

  /**
   * Returns whether `nextMessage` names every cancellation that peers may not know yet. False for `2 * cancelMs`
   * after a cancellation was left out because of the limit.
   */
  isComplete(now: number): boolean {
    return now - this.#overflowAt > 2 * this.cancelMs;
  }

  /** Records that the peer has received the message sent at `sentAt`, and so all cancellations named in it. */
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
