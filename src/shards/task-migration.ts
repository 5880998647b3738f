/**
 * Migration of tasks between shards. A task that fits nowhere in its shard migrates to a shard where it fits, by
 * compare-and-swap on its job's record.
 *
 * While no shard has free capacity, tasks that have waited for a long time are balanced: they migrate to a shard that
 * is allocated far less. Otherwise tasks could be stuck in a shard whose owner began to rent late and so gets no
 * machines; an array job has ranges in most shards.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { fencedCompareAndSwap, type Guard, type Write } from '@sumacstep/leader-election';
import type { Logger } from 'pino';
import type { PlatformConfig } from '../config/platform.js';
import { hasGuarantee, hasLimit } from '../core/jobs/jobs.js';
import type { JobRecord, TaskRange } from '../core/model.js';
import type { JobState } from '../core/shard/shard.js';
import { STORE_RETRY_MS } from '../store/constants.js';
import { CALL_PRIORITY } from '../store/call-priority.js';
import { StoreRequestError } from '../store/errors.js';
import { type StoreClient } from '../store/store-client.js';
import { decodeJob, encodeJob } from '../store/codecs/job.js';
import { storeKey } from '../store/keys.js';
import type { Cached, WatchCache } from '../store/watch-cache.js';
import {
  BALANCING_DELAY_MS,
  BALANCING_INTERVAL_MS,
  MAX_MIGRATION_CANDIDATES,
  MAX_RANGES_PER_JOB,
  MIGRATION_DELAY_MS,
  MIGRATION_INTERVAL_MS,
  MAX_RECORD_FILL,
} from './constants.js';
import type { OwnedShard } from './owned-shard.js';
import type { MigrationDestination, OtherShards } from './peer-view.js';

/** The store client, cache, other shards and clock that `TaskMigration` uses. */
export interface TaskMigrationDependencies {
  readonly config: PlatformConfig;
  readonly client: Pick<StoreClient, 'compareAndSwap' | 'get'>;
  readonly cache: WatchCache;
  /** whether this node still owns the shard under the term of `owned` */
  readonly isOwned: (owned: OwnedShard) => boolean;
  readonly otherShards: OtherShards;
  /** monotonic ms */
  readonly now: () => number;
  readonly log: Logger;
}

/** A migration of the tasks from `from` to the end of `range`, and the shard to which they migrate. */
interface Migration {
  readonly job: JobState;
  readonly record: Cached<JobRecord>;
  readonly range: TaskRange;
  readonly from: number;
  readonly target: { readonly shard: number; readonly term: number };
  /** whether the target has no free capacity either, but is allocated less */
  readonly isBalancing: boolean;
}

/** Returns the ranges of the job's record after the migration. */
const rangesAfter = ({ record, range, from, target }: Migration): TaskRange[] =>
  record.value.ranges.flatMap((present) => {
    if (present.from !== range.from) return [present];
    const moved = { from, to: present.to, ...target };
    return from > present.from ? [{ ...present, to: from }, moved] : [moved];
  });

/** Migrates tasks that fit nowhere in their shard to other shards. */
export class TaskMigration {
  /** by shard: when it last searched for tasks to migrate, monotonic ms */
  readonly #lastSearchedAt = new Map<number, number>();
  /** by shard: when tasks last migrated from it to a shard without free capacity, monotonic ms */
  readonly #lastBalancedAt = new Map<number, number>();

  constructor(private readonly dependencies: TaskMigrationDependencies) {}

  /** Begins at most one migration: of the job that has waited longest among those that can migrate. */
  migrateUnschedulable(index: number, owned: OwnedShard, now: number): void {
    if (now - (this.#lastSearchedAt.get(index) ?? -Infinity) < MIGRATION_INTERVAL_MS) return;
    this.#lastSearchedAt.set(index, now);
    let candidates = 0;
    for (const job of owned.shard.jobs.values()) {
      const record = this.#candidateRecord(job, now);
      if (record === undefined) continue;
      candidates += 1;
      if (candidates > MAX_MIGRATION_CANDIDATES) return;
      const migration = this.#plan(owned, job, record, now);
      if (migration === null) continue;
      if (migration.isBalancing) this.#lastBalancedAt.set(index, now);
      void this.#migrate(owned, migration);
      // The free capacity that another node announced can be used only once.
      return;
    }
  }

  /** Returns the record of a job whose tasks have waited long enough and may migrate, else undefined. */
  #candidateRecord(job: JobState, now: number): Cached<JobRecord> | undefined {
    const { config, cache } = this.dependencies;
    const since = job.unschedulableSince;
    if (since === null || now - since < MIGRATION_DELAY_MS) return undefined;
    if (now < job.nextMigrationAt || job.migratingTasks.length > 0) return undefined;
    const team = config.teams.get(job.spec.team);
    if (hasLimit(team) || hasGuarantee(team)) return undefined;
    const record = cache.tables.activeJobs.get(job.spec.uid);
    if (record === undefined || record.value.ranges.length >= MAX_RANGES_PER_JOB) return undefined;
    return record;
  }

  /** Returns the migration of the job's tasks to another shard, or null if none is possible now. */
  #plan(
    { shard }: OwnedShard,
    job: JobState,
    record: Cached<JobRecord>,
    now: number,
  ): Migration | null {
    const { otherShards, cache } = this.dependencies;
    const { spec } = job;
    const destination =
      otherShards.shardWithFreeCapacity(spec, shard.index) ??
      this.#balancingDestination(job, shard.index, now);
    if (destination === null) return null;
    const migratable = shard.migratableTasks(job, record.value);
    const term = cache.tables.shards.get(String(destination.shard))?.value.term;
    if (migratable === null || term === undefined) return null;
    const { range } = migratable;
    const isIndivisible = spec.kind === 'gang' || spec.oneZone || spec.spread;
    const count = Math.min(range.to - migratable.from, destination.tasks);
    if (isIndivisible && count < range.to - range.from) return null;
    const from = range.to - count;
    const target = { shard: destination.shard, term };
    return { job, record, range, from, target, isBalancing: destination.tasks === Infinity };
  }

  /** Returns a less allocated shard if tasks of the job may migrate there without free capacity, else null. */
  #balancingDestination(job: JobState, index: number, now: number): MigrationDestination | null {
    const since = job.unschedulableSince;
    if (since === null || now - since < BALANCING_DELAY_MS) return null;
    if (now - (this.#lastBalancedAt.get(index) ?? -Infinity) < BALANCING_INTERVAL_MS) return null;
    const shard = this.dependencies.otherShards.lessAllocatedShard(job.spec, index);
    return shard === null ? null : { shard, tasks: Infinity };
  }

  /** Repeats the transaction until its outcome is known or this node no longer owns the shard. */
  async #migrate(owned: OwnedShard, migration: Migration): Promise<void> {
    const { config, now } = this.dependencies;
    const { job, record, range, from } = migration;
    const value = encodeJob({ ...record.value, ranges: rangesAfter(migration) });
    const maxBytes = config.storeLimits.valueBytes * MAX_RECORD_FILL;
    if (JSON.stringify(value).length > maxBytes) return;
    const writes: Write[] = [{ put: storeKey.activeJob(job.spec.uid), value }];
    owned.shard.beginMigration(job, from, range.to);
    for (;;) {
      try {
        await this.#attempt(owned, migration, writes);
        return;
      } catch (error) {
        if (!(error instanceof StoreRequestError)) throw error;
        if (!this.dependencies.isOwned(owned)) return;
        if (error.kind === 'invalid') {
          owned.shard.endMigration(job, false, now());
          return;
        }
        await sleep(STORE_RETRY_MS);
      }
    }
  }

  async #attempt(owned: OwnedShard, migration: Migration, writes: readonly Write[]): Promise<void> {
    const { client, cache, now, log } = this.dependencies;
    const { job, record, range, from, target } = migration;
    const { uid } = job.spec;
    // Completions of the range may still be saved with its old end; readers cut off the excess of the bitmap.
    const guards: Guard[] = [{ key: storeKey.activeJob(uid), revision: record.revision }];
    const { authorization, shard } = owned;
    const priority = CALL_PRIORITY.completion;
    const result = await fencedCompareAndSwap(client, authorization, priority, guards, writes);
    if (!result.ok) {
      await this.#settleConflict(owned, migration);
      return;
    }
    cache.applyOwnWrites(writes, result.epoch);
    shard.endMigration(job, true, now());
    const tasks = range.to - from;
    log.info({ job: uid, shard: shard.index, to: target.shard, tasks }, 'tasks migrated');
  }

  /**
   * Settles a conflict by the current record: after a lost answer, the conflict may result from the success of an
   * earlier attempt. The cache must show the current record too, because the old one would bring the tasks back as not
   * started.
   */
  async #settleConflict({ shard }: OwnedShard, { job, from }: Migration): Promise<void> {
    const { client, cache, now } = this.dependencies;
    const { uid } = job.spec;
    const result = await client.get(storeKey.activeJob(uid), CALL_PRIORITY.completion);
    let isMigrated = false;
    if (!('missing' in result)) {
      cache.applyOwnWrites(
        [{ put: storeKey.activeJob(uid), value: result.value }],
        result.revision,
      );
      const { ranges } = decodeJob(uid, result.value);
      isMigrated = !ranges.some(
        (range) => range.shard === shard.index && range.from <= from && range.to > from,
      );
    }
    shard.endMigration(job, isMigrated, now());
  }
}
