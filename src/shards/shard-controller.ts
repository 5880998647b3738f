/**
 * The controller of the shards that this node owns. Each round it observes (owned-shards.ts), decides on ownership
 * and carries that out (ownership-reconciler.ts), and runs the control loops of each owned shard: placement, direct
 * commands, machine records, task migration, completions. Who may start a task, and why: authority.ts.
 */
import type { FencingRejections, SessionLease } from '@sumacstep/leader-election';
import type { Logger } from 'pino';
import type { PlatformConfig } from '../config/platform.js';
import type { OperatorConfig } from '../config/operator.js';
import { RECONCILE_INTERVAL_MS } from '../constants.js';
import type { Heartbeat, MachineType } from '../core/model.js';
import type { ShardSettings } from '../core/shard/shard.js';
import { socketBudget } from '../service/socket-budget.js';
import type { StoreClient } from '../store/store-client.js';
import type { WatchCache } from '../store/watch-cache.js';
import type { HeartbeatResponse } from '../workers/heartbeat-routes.js';
import { Authority } from './authority.js';
import { CompletionSaver } from './completions/completion-saver.js';
import { DirectCommands } from './direct-commands.js';
import { HeartbeatRouter, type ObservedWorker } from './heartbeat-router.js';
import { LeaseWithholding } from './lease-withholding.js';
import { liveIncarnations } from './live-nodes.js';
import { MachineRecords } from './machine-records/machine-records.js';
import type { OwnedShard } from './owned-shard.js';
import { OwnedShards } from './owned-shards.js';
import { OwnershipReconciler } from './ownership-reconciler.js';
import type { PeerView } from './peer-view.js';
import { TaskMigration } from './task-migration.js';

/** What the controller of shards needs of the process. */
export interface ShardControllerDependencies {
  readonly config: PlatformConfig;
  readonly operator: OperatorConfig;
  /** this life of the node */
  readonly incarnation: string;
  readonly client: Pick<StoreClient, 'compareAndSwap' | 'get'>;
  readonly cache: WatchCache;
  readonly lease: Pick<SessionLease, 'valid' | 'registeredAt' | 'validSince'>;
  /** resolves once the cache shows everything that was committed before the call */
  readonly waitForCurrentCache: () => Promise<unknown>;
  readonly peers: PeerView;
  readonly fencingRejections: FencingRejections;
  /** null until the cloud has told them */
  readonly machineTypes: () => ReadonlyMap<string, MachineType> | null;
  readonly startObjectives: ShardSettings['startObjectives'];
  /** steady ms */
  readonly now: () => number;
  /** ms */
  readonly timeOfDay: () => number;
  readonly log: Logger;
}

/** Acquires and transfers shards, and runs the control loops of those that this node owns. */
export class ShardController {
  readonly machines: MachineRecords;
  readonly #cache: WatchCache;
  readonly #now: () => number;
  readonly #authority: Authority;
  readonly #shards: OwnedShards;
  readonly #ownership: OwnershipReconciler;
  readonly #heartbeats: HeartbeatRouter;
  readonly #directCommands: DirectCommands;
  readonly #completions: CompletionSaver;
  readonly #migration: TaskMigration;
  #reconciledAt = -Infinity;

  constructor(dependencies: ShardControllerDependencies) {
    const { config, operator, client, cache, peers, now, log } = dependencies;
    this.#cache = cache;
    this.#now = now;
    this.#authority = new Authority(dependencies);
    this.#shards = new OwnedShards({
      ...dependencies,
      authority: this.#authority,
      shardOptions: {
        preempt: operator.preempt,
        startObjectives: dependencies.startObjectives,
        imagesOf: (machine) => peers.imagesOf(machine),
      },
    });
    const owned = this.#shards.byIndex;
    this.#ownership = new OwnershipReconciler({ ...dependencies, owned });
    this.#heartbeats = new HeartbeatRouter({
      ...dependencies,
      owned,
      authority: this.#authority,
      leaseWithholding: new LeaseWithholding(config.workers, peers, log),
      refresh: (at) => {
        this.#refresh(at);
      },
    });
    this.#directCommands = new DirectCommands({
      maxInFlight: socketBudget(config.sockets, config.peers.length).directCommands,
      isOwned: (shard) => this.#shards.isCurrentState(shard),
      now,
    });
    this.machines = new MachineRecords(dependencies);
    this.#completions = new CompletionSaver({ config, client, cache, now, log });
    this.#migration = new TaskMigration({
      ...dependencies,
      isOwned: (shard) => this.#shards.isCurrent(shard),
      otherShards: peers,
    });
  }

  /** The shards that this node owns by what the cache shows, by index. */
  get owned(): ReadonlyMap<number, OwnedShard> {
    return this.#shards.byIndex;
  }

  /** Workers of other nodes' shards that sent a heartbeat here, by machine. */
  get observedElsewhere(): Map<string, ObservedWorker> {
    return this.#heartbeats.observedElsewhere;
  }

  /** Whether this node provably owns what the cache shows as its own. */
  hasAuthority(now: number): boolean {
    return this.#authority.holds(now);
  }

  /** Whether this node acts for the shard now, under the term that `owned` stands for. */
  mayActFor(owned: OwnedShard): boolean {
    return this.#shards.mayActFor(owned);
  }

  /** Acts for no shard any more; what is repeated until its outcome is known ends, too. */
  close(): void {
    this.#shards.clear();
  }

  /** Acquires an own shard under a higher term, so that workers take its commands after those of another shard. */
  renewTerm(index: number): void {
    const owned = this.owned.get(index);
    if (owned !== undefined && this.mayActFor(owned)) void this.#ownership.acquire(index);
  }

  /** The shard's present term by what the cache shows; null if it never had an owner. */
  termOf(shard: number): number | null {
    return this.#cache.tables.shards.get(String(shard))?.value.term ?? null;
  }

  /** How many nodes have a valid lease. */
  liveNodeCount(): number {
    return liveIncarnations(this.#cache).size;
  }

  /** One round: observes, reconciles ownership, and runs the control loops of the owned shards. */
  tick(): void {
    const now = this.#now();
    if (!this.#cache.ready) return;
    this.#refresh(now);
    const authorized = this.#authority.holds(now);
    if (authorized && now - this.#reconciledAt >= RECONCILE_INTERVAL_MS) {
      this.#reconciledAt = now;
      this.#ownership.reconcile(now);
    }
    for (const [index, owned] of this.owned) {
      if (!owned.isActive) continue;
      owned.shard.expireLeases(now);
      if (authorized) this.#runLoops(index, owned, now);
      else this.#directCommands.sendStops(owned, now);
    }
  }

  /** The reply to a worker's heartbeat. */
  handleHeartbeat(heartbeat: Heartbeat): HeartbeatResponse {
    return this.#heartbeats.handle(heartbeat);
  }

  #runLoops(index: number, owned: OwnedShard, now: number): void {
    owned.shard.placeAll(now);
    this.#directCommands.sendAll(owned, now);
    void this.machines.reconcile(owned, now);
    this.#migration.migrateUnschedulable(index, owned, now);
    void this.#completions.save(owned, now);
  }

  #refresh(now: number): void {
    for (const index of this.#shards.refresh(now)) {
      if (this.#authority.holds(now)) void this.#ownership.acquire(index);
    }
  }
}
