import { ISOLATED_GRACE_MS, STORE_LOST_GRACE_MS } from './constants.js';

/** What readiness depends on, as of one look. */
export interface ReadinessInputs {
  /** the state service answers this node */
  readonly storeAvailable: boolean;
  /** another node in touch has state */
  readonly peerHasStore: boolean;
  /** there are other nodes, and none of them is in touch */
  readonly noPeerReachable: boolean;
}

/**
 * Whether the load balancer should send users here. Without state that is only so if no reachable node
 * has any: in an outage all stay, rather than leave the load balancer with nobody.
 */
export class Readiness {
  #storeLostSince: number | null = null;
  #isolatedSince: number | null = null;

  /** Notes since when this node alone has been without state, or without state and anybody else. */
  observe(
    { storeAvailable: storeAvailable, peerHasStore, noPeerReachable }: ReadinessInputs,
    now: number,
  ): void {
    const alone = !storeAvailable && peerHasStore;
    this.#storeLostSince = alone ? (this.#storeLostSince ?? now) : null;
    const cutOff = !storeAvailable && noPeerReachable;
    this.#isolatedSince = cutOff ? (this.#isolatedSince ?? now) : null;
  }

  /** True unless one of the two has lasted too long. */
  isReady(now: number): boolean {
    if (this.#isolatedSince !== null && now - this.#isolatedSince >= ISOLATED_GRACE_MS)
      return false;
    const since = this.#storeLostSince;
    return since === null || now - since < STORE_LOST_GRACE_MS;
  }
}
