/**
 * The controller of the shards that this node owns. In each round it updates the owned shards from the watch cache
 * (owned-shards.ts), reconciles ownership (ownership-reconciler.ts), and runs the control loops of each owned shard:
 * placement, direct commands, machine records, task migration, completions. The conditions under which tasks may be
 * started are described in authority.ts.
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
import { DirectCommands, type DirectStartCounts } from './direct-commands.js';
import { HeartbeatRouter, type ObservedWorker } from './heartbeat-router.js';
import { LeaseWithholding } from './lease-withholding.js';
import { liveIncarnations } from './live-nodes.js';
import { MachineRecords } from './machine-records/machine-records.js';
import type { OwnedShard } from './owned-shard.js';
import { OwnedShards } from './owned-shards.js';
import { OwnershipReconciler } from './ownership-reconciler.js';
import type { PeerView } from './peer-view.js';
import { TaskMigration } from './task-migration/task-migration.js';

/** The settings, clients, caches and clocks that `ShardController` passes to its control loops. */
export interface ShardControllerDependencies {
  readonly config: PlatformConfig;
  readonly operator: OperatorConfig;
  /** identifies this run of the node's process */
  readonly incarnation: string;
  readonly client: Pick<StoreClient, 'compareAndSwap' | 'get'>;
  readonly cache: WatchCache;
  readonly lease: Pick<SessionLease, 'valid' | 'registeredAt' | 'validSince'>;
  /** resolves once the cache shows everything that was committed before the call */
  readonly waitForCurrentCache: () => Promise<unknown>;
  readonly peers: PeerView;
  readonly fencingRejections: FencingRejections;
  /** machine types by name; null until the cloud has returned them */
  readonly machineTypes: () => ReadonlyMap<string, MachineType> | null;
  readonly startObjectives: ShardSettings['startObjectives'];
  /** monotonic ms */
  readonly now: () => number;
  /** wall clock, ms */
  readonly timeOfDay: () => number;
  readonly log: Logger;
}

/** Acquires and transfers shards, and runs the control loops of the shards that this node owns. */
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

  /** The shards that this node owns according to the cache, by index. */
  get owned(): ReadonlyMap<number, OwnedShard> {
    return this.#shards.byIndex;
  }

  /** Numbers of starts sent by direct command since the start of the process, by outcome. */
  get directStartCounts(): Readonly<DirectStartCounts> {
    return this.#directCommands.startCounts;
  }

  /** Workers of other nodes' shards that sent a heartbeat to this node, by machine. */
  get observedWorkers(): Map<string, ObservedWorker> {
    return this.#heartbeats.observedWorkers;
  }

  /** Returns whether this node provably owns the shards that the cache shows as its own. */
  hasAuthority(now: number): boolean {
    return this.#authority.holds(now);
  }

  /** Returns whether this node may act for the shard now, under the term of `owned`. */
  mayActFor(owned: OwnedShard): boolean {
    return this.#shards.mayActFor(owned);
  }

  /** Drops all owned shards. This also ends transactions that are repeated until their outcome is known. */
  close(): void {
    this.#shards.clear();
  }

  /**
   * Acquires an owned shard under a higher term, so that workers that followed commands of another shard accept
   * commands of this one.
   */
  renewTerm(index: number): void {
    const owned = this.owned.get(index);
    if (owned !== undefined && this.mayActFor(owned)) void this.#ownership.acquire(index);
  }

  /** Returns the shard's current term according to the cache; null if the shard never had an owner. */
  termOf(shard: number): number | null {
    return this.#cache.tables.shards.get(String(shard))?.value.term ?? null;
  }

  /** Returns the number of nodes with a valid lease. */
  liveNodeCount(): number {
    return liveIncarnations(this.#cache).size;
  }

  /** Runs one round: updates the owned shards, reconciles ownership, and runs the control loops. */
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

  /** Returns the response to a worker's heartbeat. */
  handleHeartbeat(heartbeat: Heartbeat): HeartbeatResponse {
    return this.#heartbeats.handle(heartbeat);
  }

  #runLoops(index: number, owned: OwnedShard, now: number): void {
    if (owned.shard.needsNewTerm) void this.#ownership.acquire(index);
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
