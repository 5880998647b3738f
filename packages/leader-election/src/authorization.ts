import type { FencingToken } from './fencing-token.js';
import type { FencingRejections, RejectedBy } from './fencing-rejections.js';
import type { Guard, CompareAndSwapResult, CompareAndSwapStore, Write } from './store.js';

/** An order did not leave, because its holder might no longer be entitled to give it. */
export class NotLeaderError extends Error {
  constructor(
    readonly role: string,
    readonly fencingToken: FencingToken,
  ) {
    super(`${role}: tenure ${fencingToken} is over or in doubt`);
  }
}

/** One tenure of a duty, as its holder knows it. */
export interface Leadership {
  readonly role: string;
  readonly fencingToken: FencingToken;
  /** the record that names the holder, at the revision of this tenure */
  readonly guard: Guard;
  /** whether this process is provably still the holder, at the moment of the call */
  readonly isCurrent: () => boolean;
}

/**
 * The right to act for a duty. Whatever acts asks for one, so that an action without a token does not
 * compile. It does not end by itself: it is checked again when an order leaves.
 */
export class Authorization {
  readonly #leadership: Leadership;
  readonly #rejections: FencingRejections;

  constructor(leadership: Leadership, rejections: FencingRejections) {
    this.#leadership = leadership;
    this.#rejections = rejections;
  }

  get role(): string {
    return this.#leadership.role;
  }

  get fencingToken(): FencingToken {
    return this.#leadership.fencingToken;
  }

  /** What every write under this authorization depends on. */
  get guard(): Guard {
    return this.#leadership.guard;
  }

  /** Whether an order may leave now. */
  isValid(): boolean {
    return this.#leadership.isCurrent();
  }

  /** To be called at the moment of sending; throws `NotLeaderError` and notes the refusal. */
  ensureValid(): void {
    if (this.isValid()) return;
    this.recordRejection('sender');
    throw new NotLeaderError(this.role, this.fencingToken);
  }

  /** Notes that an order was refused, by somebody who may have told a newer token. */
  recordRejection(rejectedBy: RejectedBy, newerToken: number | null = null): void {
    const { role, fencingToken } = this;
    this.#rejections.record({ role, token: fencingToken, rejectedBy }, newerToken);
  }
}

/** A transaction that the store carries out only while the tenure lasts. */
export const fencedCompareAndSwap = async <U>(
  store: CompareAndSwapStore<U>,
  authorization: Authorization,
  urgency: U,
  guards: readonly Guard[],
  writes: readonly Write[],
): Promise<CompareAndSwapResult> => {
  const { guard: condition } = authorization;
  const outcome = await store.compareAndSwap(urgency, [condition, ...guards], writes);
  if (!outcome.ok && outcome.failed.includes(condition.key)) authorization.recordRejection('store');
  return outcome;
};

/**
 * Shows that an action on a system that knows no tokens stands in the store. Whoever holds the duty later
 * finds it there: however late the action is carried out, it meets nobody who counts on its absence.
 */
export class RecordedIntent {
  private constructor(
    readonly key: string,
    readonly authorization: Authorization,
  ) {}

  /** Of an intent that stands in the store at some revision, written by this tenure or an earlier one. */
  static found(authorization: Authorization, stored: Guard): RecordedIntent {
    if (stored.revision === 0) throw new RangeError(`${stored.key} is not recorded`);
    return new RecordedIntent(stored.key, authorization);
  }
}
