/** Readiness of a node as reported to the load balancer. */
import { ISOLATED_GRACE_MS, STORE_LOST_GRACE_MS } from './constants.js';

/** Observations that readiness depends on, all made at the same time. */
export interface ReadinessInputs {
  /** whether this node can reach the store */
  readonly storeAvailable: boolean;
  /** whether a reachable peer can reach the store */
  readonly peerHasStore: boolean;
  /** whether the node has peers but can reach none of them */
  readonly noPeerReachable: boolean;
}

/**
 * Decides whether the load balancer should route users to this node. A node that cannot reach the store is ready only
 * if no reachable peer can reach it either: in an outage of the store all nodes stay ready, since otherwise the load
 * balancer would have no target.
 */
export class Readiness {
  /** monotonic ms; since when a reachable peer, but not this node, can reach the store; null: not the case */
  #storeLostSince: number | null = null;
  /** monotonic ms; since when this node can reach neither the store nor any peer; null: not the case */
  #isolatedSince: number | null = null;

  /** Records since when this node alone has lost the store, or has lost the store and all peers. */
  observe({ storeAvailable, peerHasStore, noPeerReachable }: ReadinessInputs, now: number): void {
    const storeLost = !storeAvailable && peerHasStore;
    this.#storeLostSince = storeLost ? (this.#storeLostSince ?? now) : null;
    const isolated = !storeAvailable && noPeerReachable;
    this.#isolatedSince = isolated ? (this.#isolatedSince ?? now) : null;
  }

  /** Returns false once either state has lasted for its grace period. */
  isReady(now: number): boolean {
    if (this.#isolatedSince !== null && now - this.#isolatedSince >= ISOLATED_GRACE_MS)
      return false;
    const since = this.#storeLostSince;
    return since === null || now - since < STORE_LOST_GRACE_MS;
  }
}
