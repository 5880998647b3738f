import type { FencingToken } from './fencing-token.js';
import type { Refusals, RefusedBy } from './refusals.js';
import type { Guard, CompareAndSwapResult, CompareAndSwapStore, Write } from './store.js';

/** An order did not leave, because its holder might no longer be entitled to give it. */
export class NotEntitledError extends Error {
  constructor(
    readonly duty: string,
    readonly token: FencingToken,
  ) {
    super(`${duty}: tenure ${token} is over or in doubt`);
  }
}

/** One tenure of a duty, as its holder knows it. */
export interface Tenure {
  readonly duty: string;
  readonly token: FencingToken;
  /** the record that names the holder, at the revision of this tenure */
  readonly condition: Guard;
  /** whether this process is provably still the holder, at the moment of the call */
  readonly holds: () => boolean;
}

/**
 * The right to act for a duty. Whatever acts asks for one, so that an action without a token does not
 * compile. It does not end by itself: it is checked again when an order leaves.
 */
export class Authorization {
  readonly #tenure: Tenure;
  readonly #refusals: Refusals;

  constructor(tenure: Tenure, refusals: Refusals) {
    this.#tenure = tenure;
    this.#refusals = refusals;
  }

  get duty(): string {
    return this.#tenure.duty;
  }

  get token(): FencingToken {
    return this.#tenure.token;
  }

  /** What every write under this authorization depends on. */
  get condition(): Guard {
    return this.#tenure.condition;
  }

  /** Whether an order may leave now. */
  holds(): boolean {
    return this.#tenure.holds();
  }

  /** To be called at the moment of sending; throws `NotEntitledError` and notes the refusal. */
  ensureHeld(): void {
    if (this.holds()) return;
    this.refused('sender');
    throw new NotEntitledError(this.duty, this.token);
  }

  /** Notes that an order was refused, by somebody who may have told a newer token. */
  refused(refusedBy: RefusedBy, newerToken: number | null = null): void {
    const { duty, token } = this;
    this.#refusals.note({ duty, token, refusedBy }, newerToken);
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
  const { condition } = authorization;
  const outcome = await store.compareAndSwap(urgency, [condition, ...guards], writes);
  if (!outcome.ok && outcome.failed.includes(condition.key)) authorization.refused('store');
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
