/** Gossip of confirmed cancellations, receiving side: up to when every cancellation is known here. */

/** What a peer's message says of the cancellations that it names. */
export interface ReceivedBroadcast {
  readonly node: string;
  readonly incarnation: string;
  /** whether the message names every cancellation that this node may not know */
  readonly complete: boolean;
  /** send time, by our clock, of our newest message that the peer had received when it sent this one */
  readonly acknowledgedSentAt: number;
}

interface PeerCoverage {
  readonly incarnation: string;
  /** everything that this incarnation confirmed before is known by its messages (our clock) */
  coveredUntil: number;
  /**
   * when a gap opened: earlier incarnations, or messages that did not name all, leave one that only a
   * store read at or after this time closes
   */
  readonly gapOpenedAt: number;
  /** up to when everything was known before the gap opened */
  readonly coveredBeforeGap: number;
}

const coveredUntil = (coverage: PeerCoverage, readAt: number): number =>
  readAt >= coverage.gapOpenedAt
    ? Math.max(coverage.coveredBeforeGap, coverage.coveredUntil)
    : coverage.coveredBeforeGap;

/** Up to when every cancellation that any node confirmed is known here. */
export class CancellationCoverage {
  readonly #byPeer = new Map<string, PeerCoverage>();

  constructor(private readonly peers: readonly string[]) {}

  /**
   * Takes in a peer's message. It was sent after the peer had received ours of `acknowledgedSentAt`, so
   * it names, or an earlier one named, everything that the peer had confirmed by then.
   */
  receive(
    { node, incarnation, complete, acknowledgedSentAt }: ReceivedBroadcast,
    readAt: number,
    now: number,
  ): void {
    let coverage = this.#byPeer.get(node);
    if (coverage?.incarnation !== incarnation || !complete) {
      // An earlier incarnation may have ended right after it confirmed something, before it told anybody.
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
   * The time, by our clock, up to which every confirmed cancellation is known here. `readAt`: everything
   * that was committed before is known by a read of the store.
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
