/** Counts and logs orders that were rejected because their sender might no longer be the leader. */
import type { FencingToken } from './fencing-token.js';
import { StoreUnavailableError } from './store.js';

/** The part of a structured logger that the package uses. */
export interface Log {
  info(fields: object, message: string): void;
  debug(fields: object, message: string): void;
}

/** Who rejected an order of a leader: the store, a machine, or the sender's own check before sending. */
export type RejectedBy = 'store' | 'machine' | 'sender';

/** One order that was not carried out because its sender might no longer be the leader. */
export interface FencingRejection {
  readonly role: string;
  /** the token that the order carried */
  readonly fencingToken: FencingToken;
  readonly rejectedBy: RejectedBy;
}

/** Rejected orders since the process started. The summary log line prints it as it is. */
export interface FencingRejectionCounts {
  /** orders of leaders that had been replaced */
  readonly replaced: number;
  /** orders of leaders that had not been replaced, but whose lease was in doubt */
  readonly leaseInDoubt: number;
}

/**
 * Counts rejected orders, and writes one log line for each that comes from a replaced leader, with its fencing
 * token and the newer one.
 */
export class FencingRejections {
  readonly #counts = { replaced: 0, leaseInDoubt: 0 };
  /** log lines whose newer token is being looked up */
  readonly #pending = new Set<Promise<void>>();

  constructor(
    /** the fencing token of the role's present leadership by a current read; null if the role has no record */
    private readonly currentToken: (role: string) => Promise<number | null>,
    private readonly log: Log,
  ) {}

  /** A copy of the counts. */
  get counts(): FencingRejectionCounts {
    return { ...this.#counts };
  }

  /** Counts a rejection. `newerToken` is the token that the receiver named; without it the store is asked. */
  record(rejection: FencingRejection, newerToken: number | null = null): void {
    if (newerToken !== null) {
      this.#countAndLog(rejection, newerToken);
      return;
    }
    const pending = this.#lookUpTokenAndCount(rejection).finally(() =>
      this.#pending.delete(pending),
    );
    this.#pending.add(pending);
  }

  /** Resolves once every rejection so far is counted and logged. */
  async settled(): Promise<void> {
    while (this.#pending.size > 0) await Promise.all(this.#pending);
  }

  async #lookUpTokenAndCount(rejection: FencingRejection): Promise<void> {
    try {
      this.#countAndLog(rejection, await this.currentToken(rejection.role));
    } catch (error) {
      if (!(error instanceof StoreUnavailableError)) throw error;
      this.#countAndLog(rejection, null);
    }
  }

  #countAndLog(
    { role, fencingToken, rejectedBy }: FencingRejection,
    newerToken: number | null,
  ): void {
    if (newerToken === null || newerToken <= fencingToken) {
      this.#counts.leaseInDoubt += 1;
      this.log.debug({ role, fencingToken, rejectedBy }, 'order rejected: lease in doubt');
      return;
    }
    this.#counts.replaced += 1;
    const rejections = this.#counts.replaced;
    this.log.info(
      { role, fencingToken, newerToken, rejectedBy, rejections },
      'order of a replaced leader rejected',
    );
  }
}
