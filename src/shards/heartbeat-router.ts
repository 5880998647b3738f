/**
 * Routing of worker heartbeats. The owner of the machine's shard answers, with commands while it has authority. Every
 * other node redirects the worker to the owner. An owner without authority redirects it to a peer that is connected to
 * the store, if one is reachable.
 */
import type { Logger } from 'pino';
import type { PlatformConfig } from '../config/platform.js';
import type { Heartbeat } from '../core/model.js';
import type { WatchCache } from '../store/watch-cache.js';
import type { HeartbeatResponse } from '../workers/heartbeat-routes.js';
import type { Authority } from './authority.js';
import type { LeaseWithholding } from './lease-withholding.js';
import { liveIncarnations } from './live-nodes.js';
import type { OwnedShard } from './owned-shard.js';
import type { PeerView } from './peer-view.js';

/** The cluster state from which `HeartbeatRouter` chooses a response, and the checks that it applies. */
export interface HeartbeatRouterDependencies {
  readonly config: Pick<PlatformConfig, 'node'>;
  readonly cache: WatchCache;
  readonly owned: ReadonlyMap<number, OwnedShard>;
  readonly authority: Authority;
  readonly leaseWithholding: LeaseWithholding;
  readonly peers: Pick<PeerView, 'reachablePeerWithStore'>;
  /** updates the owned shards from the cache */
  readonly refresh: (now: number) => void;
  /** monotonic ms */
  readonly now: () => number;
  readonly log: Logger;
}

/** A worker that sent a heartbeat to this node although another node owns its shard. */
export interface ObservedWorker {
  readonly shard: number;
  /** time of its last heartbeat, monotonic ms */
  readonly at: number;
}

const UNAVAILABLE: HeartbeatResponse = { kind: 'unavailable' };

/** Answers or redirects heartbeats. */
export class HeartbeatRouter {
  /** workers of shards that other nodes own, by machine; the reader of the map removes outdated entries */
  readonly observedWorkers = new Map<string, ObservedWorker>();

  constructor(private readonly dependencies: HeartbeatRouterDependencies) {}

  /**
   * Returns the response to a heartbeat. `unavailable` makes the worker try another node, and does not renew its
   * lease.
   */
  handle(heartbeat: Heartbeat): HeartbeatResponse {
    const { cache, owned: ownedShards, authority, peers } = this.dependencies;
    const now = this.dependencies.now();
    if (!cache.ready) return UNAVAILABLE;
    const record = cache.machines.get(heartbeat.machine)?.value;
    if (record === undefined) return UNAVAILABLE;
    const owned = ownedShards.get(record.shard);
    if (owned === undefined || !owned.isActive) {
      return this.#redirectToOwner(heartbeat, record.shard, now);
    }
    const authorized = authority.holds(now);
    if (!authorized) {
      // Running tasks must survive an outage of the store, so their leases are still renewed. But if a peer is
      // connected to the store, the fault is local to this node, and the workers are better served by that peer.
      const peer = peers.reachablePeerWithStore();
      if (peer !== null) return { kind: 'redirect', node: peer };
    }
    return this.#answer(owned, heartbeat, authorized, now);
  }

  #answer(
    owned: OwnedShard,
    heartbeat: Heartbeat,
    authorized: boolean,
    now: number,
  ): HeartbeatResponse {
    const { leaseWithholding, peers, refresh, log } = this.dependencies;
    const { shard } = owned;
    if (!shard.machines.has(heartbeat.machine)) refresh(now);
    const mayRenew = authorized || leaseWithholding.mayRenew(now);
    const result = shard.handleHeartbeat(heartbeat, now, authorized, mayRenew);
    if (result.kind === 'answer') {
      return result;
    }
    if (result.kind === 'superseded') {
      const { machine, fencingToken } = heartbeat;
      log.info(
        { machine, shard: shard.index, term: shard.term, fencingToken },
        'newer term reported',
      );
      return { kind: 'redirect', node: peers.reachablePeerWithStore() };
    }
    return UNAVAILABLE;
  }

  #redirectToOwner(heartbeat: Heartbeat, shard: number, now: number): HeartbeatResponse {
    const { cache, config } = this.dependencies;
    const record = cache.tables.shards.get(String(shard))?.value;
    if (record === undefined) return UNAVAILABLE;
    const isOwn = record.owner === config.node;
    if (!isOwn) this.observedWorkers.set(heartbeat.machine, { shard, at: now });
    const isLive = liveIncarnations(cache).get(record.owner)?.has(record.incarnation) ?? false;
    if (isOwn || !isLive) return UNAVAILABLE;
    return { kind: 'redirect', node: record.owner };
  }
}
