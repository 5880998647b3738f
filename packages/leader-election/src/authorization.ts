/**
 * The right of a leader to act: every write, command and call that a leader sends carries an `Authorization`,
 * so that a leader which was replaced is fenced off at the sender, in the store and at the receiver.
 */
import type { FencingToken } from './fencing-token.js';
import type { FencingRejections, RejectedBy } from './fencing-rejections.js';
import type { CompareAndSwapResult, CompareAndSwapStore, Guard, Write } from './store.js';

/**
 * An order was not sent, because this process can no longer prove that it is the leader. Nothing was changed;
 * whoever leads now does the work.
 */
export class NotLeaderError extends Error {
  constructor(
    readonly role: string,
    readonly fencingToken: FencingToken,
  ) {
    super(
      `${role}: order not sent, the leadership with fencing token ${fencingToken} has ended or its lease is in ` +
        'doubt; the present leader will act',
    );
  }
}

/** Leadership of a role under one fencing token, as the leader knows it. */
export interface Leadership {
  readonly role: string;
  readonly fencingToken: FencingToken;
  /** the record that names the leader, at the revision of this leadership */
  readonly guard: Guard;
  /** whether this process is provably still the leader, at the moment of the call */
  readonly isCurrent: () => boolean;
}

/**
 * The right to act as the leader of a role. Whatever acts asks for one, so that an action without a fencing
 * token does not compile. It does not expire by itself: it is checked again when an order is sent.
 */
export class Authorization {
  readonly #leadership: Leadership;
  readonly #rejections: FencingRejections;

  constructor(leadership: Leadership, rejections: FencingRejections) {
    this.#leadership = leadership;
    this.#rejections = rejections;
  }

  /** Name of the role, for logs and errors. */
  get role(): string {
    return this.#leadership.role;
  }

  /** The token that every order under this authorization carries. */
  get fencingToken(): FencingToken {
    return this.#leadership.fencingToken;
  }

  /** The guard that every write under this authorization depends on. */
  get guard(): Guard {
    return this.#leadership.guard;
  }

  /** Whether an order may be sent now. */
  isValid(): boolean {
    return this.#leadership.isCurrent();
  }

  /** Call it at the moment of sending; counts a rejection and throws `NotLeaderError` if the order may not be sent. */
  ensureValid(): void {
    if (this.isValid()) return;
    this.recordRejection('sender');
    throw new NotLeaderError(this.role, this.fencingToken);
  }

  /** Counts an order that was rejected. `newerToken` is the token that the receiver named, if it named one. */
  recordRejection(rejectedBy: RejectedBy, newerToken: number | null = null): void {
    const { role, fencingToken } = this;
    this.#rejections.record({ role, fencingToken, rejectedBy }, newerToken);
  }
}

/** A compare-and-swap that the store applies only while the leadership lasts. */
export const fencedCompareAndSwap = async <U>(
  store: CompareAndSwapStore<U>,
  authorization: Authorization,
  urgency: U,
  guards: readonly Guard[],
  writes: readonly Write[],
): Promise<CompareAndSwapResult> => {
  const { guard: leaderGuard } = authorization;
  const outcome = await store.compareAndSwap(urgency, [leaderGuard, ...guards], writes);
  if (!outcome.ok && outcome.failed.includes(leaderGuard.key)) {
    authorization.recordRejection('store');
  }
  return outcome;
};

/**
 * Proof that an action on a system without fencing tokens was recorded in the store before it is sent
 * (write-ahead intent). Later leaders find the intent there: however late the action is carried out, none of
 * them relies on its absence.
 */
export class RecordedIntent {
  private constructor(
    readonly key: string,
    readonly authorization: Authorization,
  ) {}

  /** The intent at a stored revision, whether this leadership or an earlier one wrote it; throws a `RangeError` if it is absent. */
  static fromStored(authorization: Authorization, stored: Guard): RecordedIntent {
    if (stored.revision === 0) throw new RangeError(`${stored.key} is not recorded`);
    return new RecordedIntent(stored.key, authorization);
  }
}
