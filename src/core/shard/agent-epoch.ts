/**
 * One life of a worker process. Its tasks end with it, at the latest when its lease expires. The lease and the counters
 * of messages belong to the epoch: what is known of an earlier epoch says nothing about this one.
 */
import type { AgentContact } from './types.js';

/** An agent epoch that a task list has shown, its newest messages, and the latest time from which its lease can run. */
export class AgentEpoch {
  /** counter of the newest task list, whether a heartbeat or the answer to a direct command */
  lastStatusCounter = -1;
  /** counter of the newest heartbeat; only answers to heartbeats renew the lease */
  lastHeartbeatCounter = -1;
  /** whether tasks were started directly while heartbeats were overdue, which is logged once */
  hadSilentStart = false;
  #leaseRunsFrom: number;
  #answeredAt = -Infinity;

  constructor(
    readonly number: number,
    /** when the first task list of the epoch was received, which was sent after the epoch had begun */
    firstListedAt: number,
  ) {
    this.#leaseRunsFrom = firstListedAt;
  }

  /** Latest time from which the lease can run. */
  get leaseRunsFrom(): number {
    return this.#leaseRunsFrom;
  }

  /** Time of the newest answer to a heartbeat of this epoch; -Infinity before the first. */
  get answeredAt(): number {
    return this.#answeredAt;
  }

  /** Records an answer to a heartbeat of this epoch, which renews the lease. */
  recordAnswer(now: number): void {
    this.#answeredAt = now;
    this.extendLease(now);
  }

  /** Records that an earlier owner of the shard may have renewed the lease up to `now`. */
  extendLease(now: number): void {
    this.#leaseRunsFrom = Math.max(this.#leaseRunsFrom, now);
  }

  /** Whether the lease has expired, given the longest time for which it can last. */
  hasLeaseExpired(now: number, longestLeaseMs: number): boolean {
    return now - this.#leaseRunsFrom > longestLeaseMs;
  }
}

/** Returns the number of the newest agent epoch that is known of a worker; 0 before its first message. */
export const knownAgentEpoch = ({ epoch }: Pick<AgentContact, 'epoch'>): number =>
  epoch?.number ?? 0;
