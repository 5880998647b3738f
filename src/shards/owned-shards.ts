/**
 * The shards that this node owns by what the watch cache shows (*observe*): builds the state of an acquired shard,
 * drops that of a lost one, and keeps the rest in step with the cache.
 */
import { Authorization, fencingToken, type FencingRejections } from '@sumacstep/leader-election';
import type { Logger } from 'pino';
import type { PlatformConfig } from '../config/platform.js';
import type { MachineType } from '../core/model.js';
import { Shard, type ShardSettings } from '../core/shard/shard.js';
import { storeKey } from '../store/keys.js';
import { type ShardRecord } from '../store/codecs/shard.js';
import type { CacheChanges, Cached, WatchCache } from '../store/watch-cache.js';
import type { Authority } from './authority.js';
import { OwnedShard } from './owned-shard.js';

/** What building and updating owned shards needs of the process. */
export interface OwnedShardsDependencies {
  readonly config: PlatformConfig;
  readonly incarnation: string;
  readonly cache: WatchCache;
  readonly authority: Authority;
  readonly fencingRejections: FencingRejections;
  /** null until the cloud has told them */
  readonly machineTypes: () => ReadonlyMap<string, MachineType> | null;
  readonly shardOptions: Pick<ShardSettings, 'preempt' | 'startObjectives' | 'imagesOf'>;
  /** steady ms */
  readonly now: () => number;
  /** ms */
  readonly timeOfDay: () => number;
  readonly log: Logger;
}

/** Owned shards by index, each built at most once per term. */
export class OwnedShards {
  readonly #byIndex = new Map<number, OwnedShard>();
  /** the newest term under which each shard was built here */
  readonly #builtTerms = new Map<number, number>();

  constructor(private readonly dependencies: OwnedShardsDependencies) {}

  get byIndex(): ReadonlyMap<number, OwnedShard> {
    return this.#byIndex;
  }

  /** Whether this node acts for the shard now, under the term that `owned` stands for. */
  mayActFor(owned: OwnedShard): boolean {
    const { authority, now } = this.dependencies;
    return this.isCurrent(owned) && owned.isActive && authority.holds(now());
  }

  /** Whether `owned` has not been dropped or replaced. */
  isCurrent(owned: OwnedShard): boolean {
    return this.#byIndex.get(owned.shard.index) === owned;
  }

  /** Whether `shard` is the state of a shard that is owned still. */
  isCurrentState(shard: Shard): boolean {
    return this.#byIndex.get(shard.index)?.shard === shard;
  }

  /** Drops all of them. */
  clear(): void {
    this.#byIndex.clear();
  }

  /**
   * Takes in what the cache has changed. Returns the shards that the store shows as owned by this node but that
   * must not be built again under their term: they have to be acquired under a new one.
   */
  refresh(now: number): number[] {
    const { cache, config, machineTypes } = this.dependencies;
    const types = machineTypes();
    const changes = cache.takeChanges();
    const toReacquire: number[] = [];
    for (let index = 0; index < config.nodes; index++) {
      const record = this.#ownRecord(index);
      this.#dropIfLost(index, record);
      if (record === undefined) continue;
      if (!this.#byIndex.has(index)) {
        // What was started under a term is known only to the object that started it. Built a second
        // time under the same term, it would regard everything as not started and start tasks twice
        // (docs/incidents/2026-12-01-handover-conflict.md). So the shard is acquired under a new term.
        if (this.#builtTerms.get(index) === record.value.term) {
          toReacquire.push(index);
          continue;
        }
        // Everything that earlier owners knew must be known here first.
        if (types === null || cache.revision < record.revision) continue;
        this.#build(index, record, types, now);
      }
      this.#sync(index, this.#byIndex.get(index)!, changes, now);
    }
    return toReacquire;
  }

  /** The shard's record, if it names this life of this node. */
  #ownRecord(index: number): Cached<ShardRecord> | undefined {
    const { cache, config, incarnation } = this.dependencies;
    const record = cache.tables.shards.get(String(index));
    const own = record?.value.owner === config.node && record.value.incarnation === incarnation;
    return own ? record : undefined;
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
    const shard = new Shard(index, term, {
      heartbeatIntervalMs: config.workers.heartbeatIntervalS * 1000,
      leaseMs: config.workers.leaseS * 1000,
      cancelMs: config.workers.cancelS * 1000,
      teams: config.teams,
      types,
      ...shardOptions,
    });
    const authorization = this.#authorization(shard, record.revision);
    this.#byIndex.set(index, new OwnedShard(shard, authorization, now));
    log.info({ shard: index, term }, 'shard activated');
  }

  /** The right to act for a shard under its term, which is its fencing token. */
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
