import type { FencingToken } from './fencing-token.js';
import { StoreUnavailableError } from './store.js';

/** The shard of a structured logger that the package uses. */
export interface Log {
  info(fields: object, message: string): void;
  debug(fields: object, message: string): void;
}

/** Who refused an order of a holder: the store, a machine, or the check at the moment of sending. */
export type RejectedBy = 'store' | 'machine' | 'sender';

/** One order that was not carried out because its holder might no longer be entitled. */
export interface FencingRejection {
  readonly role: string;
  /** the token that the order carried */
  readonly token: FencingToken;
  readonly rejectedBy: RejectedBy;
}

/** How many orders were refused since the start. */
export interface FencingRejectionCounts {
  /** of holders that had been replaced */
  readonly replaced: number;
  /** of holders that nobody had replaced, but whose lease was in doubt */
  readonly leaseInDoubt: number;
}

/**
 * Counts refused orders and writes one log line for each that comes from a replaced holder, with its token
 * and the newer one.
 */
export class FencingRejections {
  readonly #counts = { replaced: 0, leaseInDoubt: 0 };
  /** lines whose newer token is being looked up */
  readonly #pending = new Set<Promise<void>>();

  constructor(
    /** the token of the duty's present tenure by a current read; null if the duty has no record */
    private readonly currentToken: (role: string) => Promise<number | null>,
    private readonly log: Log,
  ) {}

  get counts(): FencingRejectionCounts {
    return { ...this.#counts };
  }

  /** Notes a refusal. `newerToken` is known if the refuser told it. */
  record(rejection: FencingRejection, newerToken: number | null = null): void {
    if (newerToken !== null) {
      this.#write(rejection, newerToken);
      return;
    }
    const line = this.#lookUp(rejection).finally(() => this.#pending.delete(line));
    this.#pending.add(line);
  }

  /** Resolves once every refusal so far is counted and logged. */
  async settled(): Promise<void> {
    while (this.#pending.size > 0) await Promise.all(this.#pending);
  }

  async #lookUp(rejection: FencingRejection): Promise<void> {
    try {
      this.#write(rejection, await this.currentToken(rejection.role));
    } catch (error) {
      if (!(error instanceof StoreUnavailableError)) throw error;
      this.#write(rejection, null);
    }
  }

  #write(rejection: FencingRejection, newerToken: number | null): void {
    const { role, token, rejectedBy } = rejection;
    if (newerToken === null || newerToken <= token) {
      this.#counts.leaseInDoubt += 1;
      this.log.debug({ duty: role, token, refusedBy: rejectedBy }, 'order refused: lease in doubt');
      return;
    }
    this.#counts.replaced += 1;
    const refusals = this.#counts.replaced;
    this.log.info(
      { duty: role, token, newerToken, refusedBy: rejectedBy, refusals },
      'order of a replaced holder refused',
    );
  }
}
