/** The node's access to the store: the client, the cache that a watch keeps current, and the node's lease. */
import type { SessionLease } from '@sumacstep/leader-election';
import { LinearizableReads } from '../store/linearizable-reads.js';
import { createNodeSession } from '../store/node-session.js';
import { StoreClient } from '../store/store-client.js';
import { watch, type WatchBatch } from '../store/watch.js';
import { WatchCache } from '../store/watch-cache.js';
import { STORE_REACHABLE_MS, MIN_WATCH_PAUSE_MS, WATCH_REQUEST_SHARE } from './constants.js';
import type { NodeContext } from './node-context.js';
import type { OptionalFeatures } from './optional-features.js';
import { storeLimitsPerNode } from './rate-limit-sharing.js';

/** Owns the connections to the store, the watch cache and the node's lease. */
export class StoreAccess {
  readonly client: StoreClient;
  readonly cache = new WatchCache();
  readonly linearizableReads: LinearizableReads;
  readonly lease: SessionLease;

  constructor(
    private readonly context: NodeContext,
    features: OptionalFeatures,
  ) {
    const { config, operator, incarnation, now, log } = context;
    const limits = storeLimitsPerNode(config, operator, config.nodes);
    this.client = new StoreClient(config.store, limits, config.storeLimits, now, log);
    this.linearizableReads = new LinearizableReads(this.client, this.cache, now);
    const life = {
      node: config.node,
      incarnation,
      supportsElection: features.duties !== null,
      supportsRebalancing: features.shares !== null,
    };
    this.lease = createNodeSession(this.client, life, now, log);
  }

  /** Whether the store answered this node just now. */
  get isReachable(): boolean {
    const { available, lastSuccessAt } = this.client;
    return available && this.context.now() - lastSuccessAt < STORE_REACHABLE_MS;
  }

  /** Keeps the cache current until the signal is given. */
  async runWatch(signal: AbortSignal): Promise<void> {
    const { config, operator, now } = this.context;
    const requestsPerS = (config.storeLimits.rps * operator.storeRequestShare) / config.nodes;
    const batches = watch(this.client, signal, {
      pauseMs: Math.max(MIN_WATCH_PAUSE_MS, 1000 / (requestsPerS * WATCH_REQUEST_SHARE)),
      now,
      onReadState: (startedAt) => this.linearizableReads.onReadState(startedAt),
    });
    for await (const batch of batches) this.cache.apply(batch as WatchBatch);
  }

  /** Ends the lease's renewals; the lease itself runs out in the store. */
  closeLease(): void {
    this.lease.close();
  }

  /** Ends reads and connections. */
  close(): void {
    this.linearizableReads.close();
    this.client.close();
  }
}
