/**
 * The shards that this node owns according to the watch cache. Builds the state of an acquired shard, drops the state
 * of a lost one, and updates the state of all others from the cache. This is the *observe* step of each round.
 */
import { Authorization, fencingToken, type FencingRejections } from '@sumacstep/leader-election';
import type { Logger } from 'pino';
import type { PlatformConfig } from '../config/platform.js';
import type { MachineType } from '../core/model.js';
import { Shard, type ShardSettings } from '../core/shard/shard.js';
import { storeKey } from '../store/keys.js';
import { lastToken, type ShardRecord } from '../store/codecs/shard.js';
import type { CacheChanges, Cached, WatchCache } from '../store/watch-cache.js';
import type { Authority } from './authority.js';
import { OwnedShard } from './owned-shard.js';

/** The settings, cache and clocks that `OwnedShards` uses to build and update the state of shards. */
export interface OwnedShardsDependencies {
  readonly config: PlatformConfig;
  readonly incarnation: string;
  readonly cache: WatchCache;
  readonly authority: Authority;
  readonly fencingRejections: FencingRejections;
  /** machine types by name; null until the cloud has returned them */
  readonly machineTypes: () => ReadonlyMap<string, MachineType> | null;
  readonly shardOptions: Pick<ShardSettings, 'preempt' | 'startObjectives' | 'imagesOf'>;
  /** monotonic ms */
  readonly now: () => number;
  /** wall clock, ms */
  readonly timeOfDay: () => number;
  readonly log: Logger;
}

/** Holds the owned shards by index; the state of each is built at most once per term. */
export class OwnedShards {
  readonly #byIndex = new Map<number, OwnedShard>();
  /** by shard: the last term under which its state was built here */
  readonly #builtTerms = new Map<number, number>();

  constructor(private readonly dependencies: OwnedShardsDependencies) {}

  get byIndex(): ReadonlyMap<number, OwnedShard> {
    return this.#byIndex;
  }

  /** Returns whether this node may act for the shard now, under the term of `owned`. */
  mayActFor(owned: OwnedShard): boolean {
    const { authority, now } = this.dependencies;
    return this.isCurrent(owned) && owned.isActive && authority.holds(now());
  }

  /** Returns whether `owned` has not been dropped or replaced. */
  isCurrent(owned: OwnedShard): boolean {
    return this.#byIndex.get(owned.shard.index) === owned;
  }

  /** Returns whether `shard` is the current state of an owned shard. */
  isCurrentState(shard: Shard): boolean {
    return this.#byIndex.get(shard.index)?.shard === shard;
  }

  /** Drops all owned shards. */
  clear(): void {
    this.#byIndex.clear();
  }

  /**
   * Updates the owned shards from the changes of the cache. Returns the shards that the store shows as owned by this
   * node but whose state must not be built again under their term: they have to be acquired under a new term.
   */
  refresh(now: number): number[] {
    const { cache, config, machineTypes } = this.dependencies;
    const types = machineTypes();
    const changes = cache.takeChanges();
    const shardsToReacquire: number[] = [];
    for (let index = 0; index < config.nodes; index++) {
      const record = this.#ownRecord(index);
      this.#dropIfLost(index, record);
      if (record === undefined) continue;
      if (!this.#byIndex.has(index)) {
        // Only the state object that started tasks under a term knows of these starts. A state built a
        // second time under the same term would regard all tasks as not started and start them twice
        // (docs/incidents/2026-12-01-handover-conflict.md). So the shard is acquired under a new term.
        if (this.#builtTerms.get(index) === record.value.term) {
          shardsToReacquire.push(index);
          continue;
        }
        // The cache must first show everything that earlier owners knew.
        if (types === null || cache.revision < record.revision) continue;
        this.#build(index, record, types, now);
      }
      this.#sync(index, this.#byIndex.get(index)!, changes, now);
    }
    return shardsToReacquire;
  }

  /** Returns the shard's record if it names this incarnation of this node. */
  #ownRecord(index: number): Cached<ShardRecord> | undefined {
    const { cache, config, incarnation } = this.dependencies;
    const record = cache.tables.shards.get(String(index));
    const isOwn = record?.value.owner === config.node && record.value.incarnation === incarnation;
    return isOwn ? record : undefined;
  }

  #dropIfLost(index: number, record: Cached<ShardRecord> | undefined): void {
    const owned = this.#byIndex.get(index);
    if (owned === undefined || owned.shard.term === record?.value.term) return;
    this.#byIndex.delete(index);
    this.dependencies.log.info({ shard: index, term: owned.shard.term }, 'shard lost');
  }

  #build(
    index: number,
    record: Cached<ShardRecord>,
    types: ReadonlyMap<string, MachineType>,
    now: number,
  ): void {
    const { config, shardOptions, log } = this.dependencies;
    const { term } = record.value;
    this.#builtTerms.set(index, term);
    const shard = new Shard(
      index,
      { first: term, last: lastToken(record.value) },
      {
        heartbeatIntervalMs: config.workers.heartbeatIntervalS * 1000,
        leaseMs: config.workers.leaseS * 1000,
        cancelMs: config.workers.cancelS * 1000,
        teams: config.teams,
        types,
        ...shardOptions,
      },
    );
    const authorization = this.#authorization(shard, record.revision);
    this.#byIndex.set(index, new OwnedShard(shard, authorization, now));
    const { tokens } = shard;
    const { revision } = this.dependencies.cache;
    log.info({ shard: index, term, lastToken: tokens.last, revision }, 'shard activated');
  }

  /** Returns the authorization for a shard under its term, which is its fencing token. */
  #authorization(shard: Shard, revision: number): Authorization {
    const isCurrent = () => {
      const owned = this.#byIndex.get(shard.index);
      return owned?.shard === shard && this.mayActFor(owned);
    };
    const role = storeKey.shard(shard.index);
    const guard = { key: role, revision };
    const leadership = { role, fencingToken: fencingToken(shard.term), guard, isCurrent };
    return new Authorization(leadership, this.dependencies.fencingRejections);
  }

  #sync(index: number, owned: OwnedShard, changes: CacheChanges, now: number): void {
    if (!owned.isActive) {
      owned.requestFullSync();
      return;
    }
    const full = owned.consumeFullSyncRequest() || changes.allTables;
    const changed = changes.machines || changes.jobs.size > 0 || owned.shard.hasDeferredJobs;
    if (!full && !changed) return;
    const { cache, timeOfDay } = this.dependencies;
    owned.shard.sync(
      {
        jobs: cache.tables.activeJobs,
        done: (uid, from) => cache.completedTasks(index, uid, from),
        machines: cache.machines,
      },
      now,
      timeOfDay(),
      full ? null : changes,
    );
  }
}
