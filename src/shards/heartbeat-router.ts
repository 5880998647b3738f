/**
 * Routing of worker heartbeats: the owner of the machine's shard answers, with commands while it has authority;
 * every other node redirects the worker to the owner, or to a peer that is better placed.
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

/** What the routing of heartbeats needs of the process. */
export interface HeartbeatRouterDependencies {
  readonly config: Pick<PlatformConfig, 'node'>;
  readonly cache: WatchCache;
  readonly owned: ReadonlyMap<number, OwnedShard>;
  readonly authority: Authority;
  readonly leaseWithholding: LeaseWithholding;
  readonly peers: Pick<PeerView, 'reachablePeerWithStore'>;
  /** brings the owned shards up to date with the cache */
  readonly refresh: (now: number) => void;
  /** steady ms */
  readonly now: () => number;
  readonly log: Logger;
}

/** A worker of another node's shard that sent its heartbeat here. */
export interface ObservedWorker {
  readonly shard: number;
  /** steady ms */
  readonly at: number;
}

const UNAVAILABLE: HeartbeatResponse = { kind: 'unavailable' };

/** Answers or redirects heartbeats. */
export class HeartbeatRouter {
  /** by machine; whoever reads it drops what is too old */
  readonly observedElsewhere = new Map<string, ObservedWorker>();

  constructor(private readonly dependencies: HeartbeatRouterDependencies) {}

  /** The reply to a heartbeat; `unavailable` lets the worker try another node, and does not renew its lease. */
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
      // Running work must survive an outage of the store, so its leases are kept. But if a peer is in contact
      // with the store, the fault is on this side, and the workers are better off there.
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
    const { leaseWithholding: leases, peers, refresh, log } = this.dependencies;
    const { shard } = owned;
    if (!shard.machines.has(heartbeat.machine)) refresh(now);
    const mayRenew = authorized || leases.mayRenew(now);
    const result = shard.handleHeartbeat(heartbeat, now, authorized, mayRenew);
    if (result.kind === 'answer') {
      return { kind: 'answer', fencingToken: shard.term, commands: result.commands };
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
    const own = record.owner === config.node;
    if (!own) this.observedElsewhere.set(heartbeat.machine, { shard, at: now });
    const live = liveIncarnations(cache).get(record.owner)?.has(record.incarnation) ?? false;
    if (own || !live) return UNAVAILABLE;
    return { kind: 'redirect', node: record.owner };
  }
}
