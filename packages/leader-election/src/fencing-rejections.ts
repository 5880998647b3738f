/** Counting and logging of orders that were rejected because their sender might no longer be the leader. */
import type { FencingToken } from './fencing-token.js';
import { StoreUnavailableError } from './store.js';

/** The methods of a structured logger that the package uses. */
export interface Log {
  info(fields: object, message: string): void;
  debug(fields: object, message: string): void;
}

/** The place where a leader's order was rejected: the store, a machine, or the sender's own check before sending. */
export type RejectedBy = 'store' | 'machine' | 'sender';

/** An order that was not executed because its sender might no longer be the leader. */
export interface FencingRejection {
  readonly role: string;
  /** the fencing token of the order */
  readonly fencingToken: FencingToken;
  readonly rejectedBy: RejectedBy;
}

/** Numbers of rejected orders since the process started. The summary log line prints the object as it is. */
export interface FencingRejectionCounts {
  /** number of orders from leaders that had been replaced */
  readonly replaced: number;
  /** number of orders from leaders that had not been replaced, but whose lease might have expired */
  readonly leaseInDoubt: number;
}

/**
 * Counts rejected orders, and writes one log line for each order of a replaced leader, with the order's fencing token
 * and the newer token.
 */
export class FencingRejections {
  readonly #counts = { replaced: 0, leaseInDoubt: 0 };
  /** rejections whose newer fencing token is being read from the store */
  readonly #pending = new Set<Promise<void>>();

  constructor(
    /** reads the fencing token of the role's current leadership from the store; null if the role has no record */
    private readonly currentToken: (role: string) => Promise<number | null>,
    private readonly log: Log,
  ) {}

  /** Returns a copy of the counts. */
  get counts(): FencingRejectionCounts {
    return { ...this.#counts };
  }

  /**
   * Counts a rejection. `newerToken` is the token that the receiver reported; if it is null, it is read from the
   * store.
   */
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

  /** Resolves once every rejection recorded so far is counted and logged. */
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
      this.log.debug({ role, fencingToken, rejectedBy }, 'order rejected: lease may have expired');
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
