/**
 * Task migration between shards: a task that fits nowhere in its shard moves, by compare-and-swap on its job's
 * record, to a shard where it fits. Exception: while no shard has free capacity, tasks that have waited for long
 * move to one that is allocated far less. A shard whose owner began to rent late may get no machines, and an array
 * has ranges in most shards.
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

/** What task migration needs of the process. */
export interface TaskMigrationDependencies {
  readonly config: PlatformConfig;
  readonly client: Pick<StoreClient, 'compareAndSwap' | 'get'>;
  readonly cache: WatchCache;
  /** whether this node still owns the shard under the term of `owned` */
  readonly isOwned: (owned: OwnedShard) => boolean;
  readonly otherShards: OtherShards;
  /** steady ms */
  readonly now: () => number;
  readonly log: Logger;
}

/** Tasks `from` to the end of `range`, and the shard that they move to. */
interface Migration {
  readonly job: JobState;
  readonly record: Cached<JobRecord>;
  readonly range: TaskRange;
  readonly from: number;
  readonly target: { readonly shard: number; readonly term: number };
  /** the target has no free capacity either, but is allocated less */
  readonly isBalancing: boolean;
}

/** The record's ranges once the tasks have moved. */
const rangesAfter = ({ record, range, from, target }: Migration): TaskRange[] =>
  record.value.ranges.flatMap((present) => {
    if (present.from !== range.from) return [present];
    const moved = { from, to: present.to, ...target };
    return from > present.from ? [{ ...present, to: from }, moved] : [moved];
  });

/** Moves tasks that fit nowhere in their shard to other shards. */
export class TaskMigration {
  /** when each shard last looked for tasks to move, steady ms */
  readonly #lastSearchedAt = new Map<number, number>();
  /** when each shard last moved tasks to one without free capacity, steady ms */
  readonly #lastBalancedAt = new Map<number, number>();

  constructor(private readonly dependencies: TaskMigrationDependencies) {}

  /** Begins at most one migration, of the job that waits longest among those that can move. */
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
      // The free capacity that another node told of is there once.
      return;
    }
  }

  /** The record of a job whose tasks have waited for long enough and may move; else undefined. */
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
    const indivisible = spec.kind === 'gang' || spec.oneZone || spec.spread;
    const count = Math.min(range.to - migratable.from, destination.tasks);
    if (indivisible && count < range.to - range.from) return null;
    const from = range.to - count;
    const target = { shard: destination.shard, term };
    return { job, record, range, from, target, isBalancing: destination.tasks === Infinity };
  }

  #balancingDestination(job: JobState, index: number, now: number): MigrationDestination | null {
    const since = job.unschedulableSince;
    if (since === null || now - since < BALANCING_DELAY_MS) return null;
    if (now - (this.#lastBalancedAt.get(index) ?? -Infinity) < BALANCING_INTERVAL_MS) return null;
    const shard = this.dependencies.otherShards.lessAllocatedShard(job.spec, index);
    return shard === null ? null : { shard, tasks: Infinity };
  }

  /** Repeats the transaction until its outcome is known, or the shard is owned no more. */
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
    // Completions of the range may be saved for its old end; what a bitmap has too much is cut off.
    const guards: Guard[] = [{ key: storeKey.activeJob(uid), revision: record.revision }];
    const { authorization, shard } = owned;
    const priority = CALL_PRIORITY.completion;
    const result = await fencedCompareAndSwap(client, authorization, priority, guards, writes);
    if (!result.ok) {
      await this.#settleConflict(owned, migration);
      return;
    }
    cache.applyOwn(writes, result.epoch);
    shard.endMigration(job, true, now());
    const tasks = range.to - from;
    log.info({ job: uid, shard: shard.index, to: target.shard, tasks }, 'tasks migrated');
  }

  /**
   * A conflict after a lost answer may be the own success: only the present record tells. The cache must show it
   * too, or the old one would bring the tasks back as not started.
   */
  async #settleConflict({ shard }: OwnedShard, { job, from }: Migration): Promise<void> {
    const { client, cache, now } = this.dependencies;
    const { uid } = job.spec;
    const found = await client.get(storeKey.activeJob(uid), CALL_PRIORITY.completion);
    let migrated = false;
    if (!('missing' in found)) {
      cache.applyOwn([{ put: storeKey.activeJob(uid), value: found.value }], found.revision);
      const { ranges } = decodeJob(uid, found.value);
      migrated = !ranges.some(
        (range) => range.shard === shard.index && range.from <= from && range.to > from,
      );
    }
    shard.endMigration(job, migrated, now());
  }
}
