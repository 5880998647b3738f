/**
 * Authorization of a leader's actions. Every write, command and call of a leader carries an `Authorization`, so that
 * the orders of a replaced leader are rejected by the sender itself, by the store or by the receiver.
 */
import type { FencingToken } from './fencing-token.js';
import type { FencingRejections, RejectedBy } from './fencing-rejections.js';
import type { CompareAndSwapResult, CompareAndSwapStore, Guard, Write } from './store.js';

/**
 * Thrown when an order is not sent because this process can no longer prove that it is the leader. The order has had
 * no effect; the current leader does the work instead.
 */
export class NotLeaderError extends Error {
  constructor(
    readonly role: string,
    readonly fencingToken: FencingToken,
  ) {
    super(
      `${role}: order not sent, the leadership with fencing token ${fencingToken} has ended or its lease may have ` +
        'expired; the current leader will act',
    );
  }
}

/** One leadership of a role, as its leader sees it. */
export interface Leadership {
  readonly role: string;
  readonly fencingToken: FencingToken;
  /** requires that the leader record still has the revision at which this leadership began */
  readonly guard: Guard;
  /** returns whether this process is provably the leader at the moment of the call */
  readonly isCurrent: () => boolean;
}

/**
 * Permits its holder to act as the leader of a role. Functions that act for a leader take one as a parameter, so that
 * an action without a fencing token does not compile. The object itself does not expire: call `ensureValid` again at
 * the moment of sending.
 */
export class Authorization {
  readonly #leadership: Leadership;
  readonly #rejections: FencingRejections;

  constructor(leadership: Leadership, rejections: FencingRejections) {
    this.#leadership = leadership;
    this.#rejections = rejections;
  }

  /** The name of the role, for logs and errors. */
  get role(): string {
    return this.#leadership.role;
  }

  /** The fencing token that every order under this authorization carries. */
  get fencingToken(): FencingToken {
    return this.#leadership.fencingToken;
  }

  /** The guard on the leader record that every write under this authorization includes. */
  get guard(): Guard {
    return this.#leadership.guard;
  }

  /** Returns whether an order may be sent now. */
  isValid(): boolean {
    return this.#leadership.isCurrent();
  }

  /**
   * Checks the authorization; call this at the moment of sending. If the order may not be sent, counts a rejection and
   * throws `NotLeaderError`.
   */
  ensureValid(): void {
    if (this.isValid()) return;
    this.recordRejection('sender');
    throw new NotLeaderError(this.role, this.fencingToken);
  }

  /**
   * Counts a rejected order. `newerToken` is the fencing token that the receiver reported, or null if it reported
   * none.
   */
  recordRejection(rejectedBy: RejectedBy, newerToken: number | null = null): void {
    const { role, fencingToken } = this;
    this.#rejections.record({ role, fencingToken, rejectedBy }, newerToken);
  }
}

/** Sends a compare-and-swap that the store applies only while the leadership lasts. */
export const fencedCompareAndSwap = async <Priority>(
  store: CompareAndSwapStore<Priority>,
  authorization: Authorization,
  priority: Priority,
  guards: readonly Guard[],
  writes: readonly Write[],
): Promise<CompareAndSwapResult> => {
  const { guard: leaderGuard } = authorization;
  const outcome = await store.compareAndSwap(priority, [leaderGuard, ...guards], writes);
  if (!outcome.ok && outcome.failed.includes(leaderGuard.key)) {
    authorization.recordRejection('store');
  }
  return outcome;
};

/**
 * Proves that an action on a system without fencing tokens was recorded in the store before it is sent (a write-ahead
 * intent). Later leaders find the intent in the store, so they account for the action however late it is executed.
 */
export class RecordedIntent {
  private constructor(
    readonly key: string,
    readonly authorization: Authorization,
  ) {}

  /**
   * Returns the proof for an intent that is stored at the revision in `stored`, whether this leadership or an earlier
   * one wrote it. Throws a `RangeError` if the revision is 0, that is, if the intent is not stored.
   */
  static fromStored(authorization: Authorization, stored: Guard): RecordedIntent {
    if (stored.revision === 0) throw new RangeError(`${stored.key} is not recorded`);
    return new RecordedIntent(stored.key, authorization);
  }
}
