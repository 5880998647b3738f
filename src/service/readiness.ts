import { ISOLATED_GRACE_MS, READY_GRACE_MS } from './constants.js';

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
  #isolatedSince: number | null = null;
  #cutOffSince: number | null = null;

  /** Notes since when this node alone has been without state, or without state and anybody else. */
  observe({ storeAvailable, peerHasStore, noPeerReachable }: ReadinessInputs, now: number): void {
    const alone = !storeAvailable && peerHasStore;
    this.#isolatedSince = alone ? (this.#isolatedSince ?? now) : null;
    const cutOff = !storeAvailable && noPeerReachable;
    this.#cutOffSince = cutOff ? (this.#cutOffSince ?? now) : null;
  }

  /** True unless one of the two has lasted too long. */
  ready(now: number): boolean {
    if (this.#cutOffSince !== null && now - this.#cutOffSince >= ISOLATED_GRACE_MS) return false;
    const since = this.#isolatedSince;
    return since === null || now - since < READY_GRACE_MS;
  }
}
