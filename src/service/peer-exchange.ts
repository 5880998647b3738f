/** Exchange of status, confirmed cancellations and learned run times with the peers. */
import type { Cancellation } from '../core/cancellation/cancellation.js';
import { CancellationBroadcast } from '../core/cancellation/cancellation-broadcast.js';
import { CancellationCoverage } from '../core/cancellation/cancellation-coverage.js';
import type { WorkloadStatistics } from '../core/capacity/workload-statistics.js';
import type { PeerStatus } from '../peers/frames.js';
import { Gossip, type OwnStatus } from '../peers/gossip.js';
import { ShardDirectory } from '../peers/shard-directory.js';
import type { PeerView } from '../shards/peer-view.js';
import type { ShardController } from '../shards/shard-controller.js';
import type { NodeContext } from './node-context.js';
import { describeOwnShards } from './shard-status.js';
import type { StoreAccess } from './store-access.js';

/** Dependencies of `PeerExchange`. */
export interface PeerExchangeDependencies {
  readonly context: NodeContext;
  readonly store: StoreAccess;
  readonly workload: WorkloadStatistics;
  /** called only after construction, since the shard controller itself depends on the peer exchange */
  readonly shardController: () => ShardController;
}

/** Owns the gossip, the shard directory that is built on it, and the broadcast of confirmed cancellations. */
export class PeerExchange {
  readonly gossip: Gossip;
  readonly directory: ShardDirectory;
  readonly #broadcast: CancellationBroadcast;
  readonly #coverage: CancellationCoverage;

  constructor(private readonly dependencies: PeerExchangeDependencies) {
    const { context, shardController } = dependencies;
    const { config, incarnation, now, log } = context;
    const peers = config.peers.map(({ node }) => node);
    this.#broadcast = new CancellationBroadcast(peers, config.workers.cancelS * 1000);
    this.#coverage = new CancellationCoverage(peers);
    this.gossip = new Gossip({
      node: config.node,
      incarnation,
      peers: config.peers,
      ownStatus: (detailed, sentAt) => this.#ownStatus(detailed, sentAt),
      onStatus: (status, acknowledgedAt) => this.#receive(status, acknowledgedAt),
      now,
      log,
    });
    const owned = () => shardController().owned;
    this.directory = new ShardDirectory(config.nodes, owned, this.gossip, now);
  }

  /** Returns a reachable peer that can reach the store; null if there is none. */
  reachablePeerWithStore(): string | null {
    return this.gossip.reachable().find((status) => status.hasStore)?.node ?? null;
  }

  /** Whether the node has peers but can reach none of them. */
  get isIsolated(): boolean {
    return (
      this.dependencies.context.config.peers.length > 0 && this.gossip.reachable().length === 0
    );
  }

  /** Returns the view of the peers that the shard controller works with. */
  view(): PeerView {
    const { cache } = this.dependencies.store;
    return {
      reachablePeerWithStore: () => this.reachablePeerWithStore(),
      incarnationWithStore: (node) => this.#incarnationWithStore(node),
      shardWithFreeCapacity: (spec, excluded, minimumTasks) =>
        this.directory.shardWithFreeCapacity(spec, excluded, minimumTasks),
      lessAllocatedShard: (spec, shard) => this.directory.lessAllocatedShard(spec, shard),
      imagesOf: (machine) => this.directory.imagesOf(machine),
      peerReceivingHeartbeats: (shard) => this.directory.peerReceivingHeartbeats(shard),
      cancellationsKnownUntil: () => this.#coverage.knownUntil(cache.currentAt),
    };
  }

  /** Broadcasts a confirmed cancellation in every message until every peer has acknowledged it. */
  addCancellation(cancellation: Cancellation): void {
    this.#broadcast.add(cancellation, this.dependencies.context.now());
  }

  /**
   * Broadcasts without waiting for the next interval if some peer may not know the job's cancellation, so that the
   * owners of its tasks stop them soon.
   */
  flushCancellation(uid: string): void {
    if (this.#broadcast.isPending(uid)) this.gossip.broadcastSoon();
  }

  #incarnationWithStore(node: string): string | null {
    const status = this.gossip.reachable().find((peer) => peer.node === node && peer.hasStore);
    return status?.incarnation ?? null;
  }

  #ownStatus(detailed: boolean, sentAt: number): OwnStatus {
    const { context, store, workload, shardController } = this.dependencies;
    return {
      cancellations: this.#broadcast.nextMessage(sentAt),
      cancellationsComplete: this.#broadcast.isComplete(sentAt),
      hasStore: store.isReachable,
      ...describeOwnShards(shardController(), this.directory, detailed, context.now()),
      classes: workload.measuredRunTimes(),
    };
  }

  #receive(status: PeerStatus, acknowledgedSentAt: number): void {
    const { context, store } = this.dependencies;
    const { node, incarnation, cancellations, cancellationsComplete: complete } = status;
    for (const cancellation of cancellations) store.cache.applyCancellation(cancellation);
    const receivedBroadcast = { node, incarnation, complete, acknowledgedSentAt };
    this.#coverage.receive(receivedBroadcast, store.cache.currentAt, context.now());
    this.#broadcast.acknowledge(node, acknowledgedSentAt);
  }
}
