/**
 * The receiving side of the gossip of confirmed cancellations: tracks the time up to which this node knows every
 * cancellation. Times are in ms of this node's monotonic clock.
 */

/** The part of a peer's message that states how far its list of cancellations reaches. */
export interface ReceivedBroadcast {
  readonly node: string;
  readonly incarnation: string;
  /** whether the message names every cancellation that this node may not know */
  readonly complete: boolean;
  /** send time of this node's newest message that the peer had received when it sent this one */
  readonly acknowledgedSentAt: number;
}

/** How far the cancellations confirmed by one peer are known to this node. */
interface PeerCoverage {
  readonly incarnation: string;
  /** messages of this incarnation have named every cancellation that it confirmed before this time */
  coveredUntil: number;
  /**
   * when a gap opened because the peer restarted or sent an incomplete message; only a store read begun at or after
   * this time closes the gap
   */
  readonly gapOpenedAt: number;
  /** time up to which the peer's cancellations were known when the gap opened */
  readonly coveredBeforeGap: number;
}

/** Returns the time up to which the peer's cancellations are known, given the time of the last store read. */
const coveredUntil = (coverage: PeerCoverage, readAt: number): number =>
  readAt >= coverage.gapOpenedAt
    ? Math.max(coverage.coveredBeforeGap, coverage.coveredUntil)
    : coverage.coveredBeforeGap;

/** Computes the time up to which this node knows every cancellation that any node confirmed. */
export class CancellationCoverage {
  readonly #byPeer = new Map<string, PeerCoverage>();

  constructor(private readonly peers: readonly string[]) {}

  /**
   * Processes a peer's message, which arrives at `now`. The peer sent it after it had received the message that this
   * node sent at `acknowledgedSentAt`. So this message or an earlier one names every cancellation that the peer had
   * confirmed by that time.
   */
  receive(
    { node, incarnation, complete, acknowledgedSentAt }: ReceivedBroadcast,
    readAt: number,
    now: number,
  ): void {
    let coverage = this.#byPeer.get(node);
    if (coverage?.incarnation !== incarnation || !complete) {
      // An earlier incarnation may have ended right after it confirmed a cancellation, before it sent a message
      // that names it.
      coverage = {
        incarnation,
        coveredUntil: -Infinity,
        gapOpenedAt: now,
        coveredBeforeGap: coverage === undefined ? -Infinity : coveredUntil(coverage, readAt),
      };
      this.#byPeer.set(node, coverage);
    }
    if (complete) coverage.coveredUntil = Math.max(coverage.coveredUntil, acknowledgedSentAt);
  }

  /**
   * Returns the time up to which this node knows every confirmed cancellation. `readAt` is the start of the last
   * store read: everything committed before it is known from the store.
   */
  knownUntil(readAt: number): number {
    let coveredByAll = Infinity;
    for (const peer of this.peers) {
      const coverage = this.#byPeer.get(peer);
      const covered = coverage === undefined ? -Infinity : coveredUntil(coverage, readAt);
      coveredByAll = Math.min(coveredByAll, covered);
    }
    return Math.max(readAt, coveredByAll);
  }
}
