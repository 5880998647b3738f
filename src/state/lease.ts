import type { Logger } from 'pino';
import {
  CLOCK_DRIFT,
  LEASE_MARGIN_MS,
  LEASE_RENEW_MS,
  LEASE_RETRY_MS,
  LEASE_TTL_MS,
} from '../constants.js';
import { setTimeout as sleep } from 'node:timers/promises';
import { StateTrouble, type StateClient } from './client.js';
import { key } from './keys.js';

/**
 * This node's lease on the state service and the node key attached to it. Nobody may take over our
 * parts while that key is there, and it is there at least until `validUntil`.
 */
export class NodeLease {
  #id: number | null = null;
  #validUntil = -Infinity;
  /** epoch at which our node key was written; what we own is known from then on */
  registeredAt = Infinity;
  /** steady ms since when the lease has been valid without a break, as far as we can prove */
  validSince = Infinity;
  #closed = false;

  constructor(
    private readonly client: StateClient,
    private readonly node: string,
    private readonly incarnation: string,
    private readonly now: () => number,
    private readonly log: Logger,
  ) {}

  /** True while the lease is provably alive, whatever the service would say now. */
  valid(now: number): boolean {
    return now < this.#validUntil && this.registeredAt !== Infinity;
  }

  async run(): Promise<void> {
    while (!this.#closed) {
      const started = this.now();
      try {
        await this.#step();
      } catch (error) {
        if (!(error instanceof StateTrouble)) throw error;
        this.log.debug({ error: error.message }, 'lease not renewed');
      }
      const spent = this.now() - started;
      await sleep(
        Math.max(LEASE_RETRY_MS, this.#id === null ? LEASE_RETRY_MS : LEASE_RENEW_MS - spent),
      );
    }
  }

  async #step(): Promise<void> {
    const sent = this.now();
    if (this.#id === null) {
      this.#id = await this.client.grant(LEASE_TTL_MS);
      this.log.info({ lease: this.#id }, 'lease granted');
    } else if (!(await this.client.renew(this.#id))) {
      this.log.info({ lease: this.#id }, 'lease ended');
      this.#drop();
      return;
    }
    if (this.registeredAt === Infinity) {
      // The key names the incarnation, and a write without an answer is repeated with the same
      // lease: a late copy of it can then neither stand for another life of this node nor tie the
      // key to a lease that nobody renews.
      const epoch = await this.client.register(
        key.node(this.node, this.incarnation),
        { incarnation: this.incarnation },
        this.#id,
      );
      if (epoch === null) {
        this.#drop();
        return;
      }
      this.registeredAt = epoch;
    }
    this.#extend(sent);
  }

  #drop(): void {
    this.#id = null;
    this.registeredAt = Infinity;
    this.#validUntil = -Infinity;
  }

  /** Counted from the moment of sending, by a clock that may be slow against the service's. */
  #extend(sent: number): void {
    if (this.now() >= this.#validUntil) this.validSince = this.now();
    this.#validUntil = sent + LEASE_TTL_MS * (1 - CLOCK_DRIFT) - LEASE_MARGIN_MS;
  }

  close(): void {
    this.#closed = true;
  }
}
