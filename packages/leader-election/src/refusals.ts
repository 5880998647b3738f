import type { FencingToken } from './fencing-token.js';
import { StoreUnavailableError } from './store.js';

/** The shard of a structured logger that the package uses. */
export interface Log {
  info(fields: object, message: string): void;
  debug(fields: object, message: string): void;
}

/** Who refused an order of a holder: the store, a machine, or the check at the moment of sending. */
export type RefusedBy = 'store' | 'machine' | 'sender';

/** One order that was not carried out because its holder might no longer be entitled. */
export interface Refusal {
  readonly duty: string;
  /** the token that the order carried */
  readonly token: FencingToken;
  readonly refusedBy: RefusedBy;
}

/** How many orders were refused since the start. */
export interface RefusalCounts {
  /** of holders that had been replaced */
  readonly replaced: number;
  /** of holders that nobody had replaced, but whose lease was in doubt */
  readonly leaseInDoubt: number;
}

/**
 * Counts refused orders and writes one log line for each that comes from a replaced holder, with its token
 * and the newer one.
 */
export class Refusals {
  readonly #counts = { replaced: 0, leaseInDoubt: 0 };
  /** lines whose newer token is being looked up */
  readonly #pending = new Set<Promise<void>>();

  constructor(
    /** the token of the duty's present tenure by a current read; null if the duty has no record */
    private readonly currentToken: (duty: string) => Promise<number | null>,
    private readonly log: Log,
  ) {}

  get counts(): RefusalCounts {
    return { ...this.#counts };
  }

  /** Notes a refusal. `newerToken` is known if the refuser told it. */
  note(refusal: Refusal, newerToken: number | null = null): void {
    if (newerToken !== null) {
      this.#write(refusal, newerToken);
      return;
    }
    const line = this.#lookUp(refusal).finally(() => this.#pending.delete(line));
    this.#pending.add(line);
  }

  /** Resolves once every refusal so far is counted and logged. */
  async settled(): Promise<void> {
    while (this.#pending.size > 0) await Promise.all(this.#pending);
  }

  async #lookUp(refusal: Refusal): Promise<void> {
    try {
      this.#write(refusal, await this.currentToken(refusal.duty));
    } catch (error) {
      if (!(error instanceof StoreUnavailableError)) throw error;
      this.#write(refusal, null);
    }
  }

  #write(refusal: Refusal, newerToken: number | null): void {
    const { duty, token, refusedBy } = refusal;
    if (newerToken === null || newerToken <= token) {
      this.#counts.leaseInDoubt += 1;
      this.log.debug({ duty, token, refusedBy }, 'order refused: lease in doubt');
      return;
    }
    this.#counts.replaced += 1;
    const refusals = this.#counts.replaced;
    this.log.info(
      { duty, token, newerToken, refusedBy, refusals },
      'order of a replaced holder refused',
    );
  }
}
