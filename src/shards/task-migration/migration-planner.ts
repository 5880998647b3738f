/** Chooses which waiting tasks of a shard migrate, and to which shard. */
import type { PlatformConfig } from '../../config/platform.js';
import { hasGuarantee, hasLimit, homeShard } from '../../core/jobs/single-shard.js';
import type { JobRecord } from '../../core/model.js';
import type { JobState, Shard } from '../../core/shard/shard.js';
import type { Cached, WatchCache } from '../../store/watch-cache.js';
import {
  BALANCING_DELAY_MS,
  MAX_MIGRATION_CANDIDATES,
  MAX_RANGES_PER_JOB,
  MIGRATION_DELAY_MS,
} from '../constants.js';
import type { MigrationDestination, OtherShards } from '../peer-view.js';
import type { Migration, MigrationReason } from './migration.js';

/** The settings, cache and other shards that `MigrationPlanner` uses. */
export interface MigrationPlannerDependencies {
  readonly config: Pick<PlatformConfig, 'teams'>;
  readonly cache: WatchCache;
  readonly otherShards: OtherShards;
}

/** Plans migrations of the tasks of one shard at one moment. */
export class MigrationPlanner {
  #awaitingBoots: ReadonlyMap<JobState, number> | null = null;

  constructor(
    private readonly dependencies: MigrationPlannerDependencies,
    private readonly shard: Shard,
    /** whether tasks may migrate to a shard without free capacity */
    private readonly mayBalance: boolean,
    private readonly now: number,
  ) {}

  /** Returns the migration of the job that has waited longest among those that can migrate, or null. */
  next(): Migration | null {
    let candidates = 0;
    for (const job of this.shard.jobs.values()) {
      const record = this.#candidateRecord(job);
      if (record === undefined) continue;
      candidates += 1;
      if (candidates > MAX_MIGRATION_CANDIDATES) return null;
      const migration = this.#plan(job, record);
      if (migration !== null) return migration;
    }
    return null;
  }

  /**
   * Returns the migration that brings ranges of a divided job to its home shard, or null if no job needs one now. Such
   * a job may migrate in steps: none of its tasks starts before it is whole.
   */
  nextReunion(): Migration | null {
    for (const job of this.shard.jobs.values()) {
      if (!job.isDivided || this.now < job.nextMigrationAt) continue;
      const record = this.dependencies.cache.tables.activeJobs.get(job.spec.uid);
      if (record === undefined) continue;
      this.shard.stopReplicasAwayFromHome(job, record.value, this.now);
      const ranges = this.shard.rangesToReunite(job, record.value);
      const target = this.#target(homeShard(record.value));
      if (ranges.length === 0 || target === null) continue;
      return { job, record, ranges, target, reason: 'reunion' };
    }
    return null;
  }

  /** Returns the record of a job whose tasks have waited long enough and may migrate, else undefined. */
  #candidateRecord(job: JobState): Cached<JobRecord> | undefined {
    const { config, cache } = this.dependencies;
    const since = job.unschedulableSince;
    if (since === null || this.now - since < MIGRATION_DELAY_MS) return undefined;
    if (this.now < job.nextMigrationAt || job.isMigrating || job.isDivided) return undefined;
    const team = config.teams.get(job.spec.team);
    if (hasLimit(team) || hasGuarantee(team)) return undefined;
    const record = cache.tables.activeJobs.get(job.spec.uid);
    const mayGainRange = !job.requiresSingleShard;
    if (mayGainRange && (record?.value.ranges.length ?? 0) >= MAX_RANGES_PER_JOB) return undefined;
    return record;
  }

  /** Returns the migration of the job's tasks to another shard, or null if none is possible now. */
  #plan(job: JobState, record: Cached<JobRecord>): Migration | null {
    const room = this.#roomFor(job);
    if (room !== null) return this.#migration(job, record, room, 'room');
    const balancing = this.#balancingDestination(job);
    return balancing === null ? null : this.#migration(job, record, balancing, 'balancing');
  }

  /** Returns the migration of as many tasks as the destination takes, of all tasks of a job that stays in one shard. */
  #migration(
    job: JobState,
    record: Cached<JobRecord>,
    destination: MigrationDestination,
    reason: MigrationReason,
  ): Migration | null {
    const migratable = this.shard.migratableRanges(job, record.value);
    const target = this.#target(destination.shard);
    if (migratable.length === 0 || target === null) return null;
    const ranges = job.requiresSingleShard
      ? migratable
      : migratable.map((range) => ({
          ...range,
          from: Math.max(range.from, range.to - destination.tasks),
        }));
    return { job, record, ranges, target, reason };
  }

  /** Returns the shard and its term, or null if it has never had an owner. */
  #target(shard: number): Migration['target'] | null {
    const term = this.dependencies.cache.tables.shards.get(String(shard))?.value.term;
    return term === undefined ? null : { shard, term };
  }

  /**
   * Returns a shard with free capacity for the job, or null. For a gang all of it must fit there. For another job that
   * stays in one shard at least as many tasks must fit as will get capacity here on machines that boot.
   */
  #roomFor(job: JobState): MigrationDestination | null {
    const { spec } = job;
    const minimumTasks =
      spec.kind === 'gang' ? spec.tasks : Math.max(1, this.#tasksAwaitingBoots(job));
    return this.dependencies.otherShards.shardWithFreeCapacity(
      spec,
      this.shard.index,
      minimumTasks,
    );
  }

  /** Returns a less allocated shard if tasks of the job may migrate there without free capacity, else null. */
  #balancingDestination(job: JobState): MigrationDestination | null {
    const since = job.unschedulableSince;
    if (!this.mayBalance || since === null || this.now - since < BALANCING_DELAY_MS) return null;
    if (this.#tasksAwaitingBoots(job) > 0) return null;
    const shard = this.dependencies.otherShards.lessAllocatedShard(job.spec, this.shard.index);
    return shard === null ? null : { shard, tasks: Infinity };
  }

  /** Returns how many tasks of a job that stays in one shard get capacity on machines that boot in this shard. */
  #tasksAwaitingBoots(job: JobState): number {
    if (!job.requiresSingleShard) return 0;
    this.#awaitingBoots ??= this.shard.tasksAwaitingBoots(this.now);
    return this.#awaitingBoots.get(job) ?? 0;
  }
}
