/**
 * Migration of tasks between shards. A task that fits nowhere in its shard migrates to a shard where it fits, by
 * compare-and-swap on its job's record. A job that requires a single shard migrates with all of its tasks, in one
 * transaction, or not at all.
 *
 * While no shard has free capacity, tasks that have waited for a long time are balanced: they migrate to a shard that
 * is allocated far less. Otherwise tasks could be stuck in a shard whose owner began to rent late and so gets no
 * machines; an array job has ranges in most shards. A job that requires a single shard stays while its shard has
 * machines on their way for it.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { isDeepStrictEqual } from 'node:util';
import { fencedCompareAndSwap } from '@sumacstep/leader-election';
import type { Logger } from 'pino';
import type { PlatformConfig } from '../../config/platform.js';
import { STORE_RETRY_MS } from '../../store/constants.js';
import { CALL_PRIORITY } from '../../store/call-priority.js';
import { StoreRequestError } from '../../store/errors.js';
import { type StoreClient } from '../../store/store-client.js';
import { decodeJob } from '../../store/codecs/job.js';
import { storeKey } from '../../store/keys.js';
import type { WatchCache } from '../../store/watch-cache.js';
import type { JobState } from '../../core/shard/shard.js';
import { BALANCING_INTERVAL_MS, MIGRATION_INTERVAL_MS } from '../constants.js';
import type { OwnedShard } from '../owned-shard.js';
import type { OtherShards } from '../peer-view.js';
import type { Transaction } from '../transaction.js';
import { migrationTransaction, type Migration } from './migration.js';
import { MigrationPlanner } from './migration-planner.js';

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

/** Migrates tasks that fit nowhere in their shard to other shards, and reunites divided jobs. */
export class TaskMigration {
  /** by shard: when it last searched for tasks to migrate, monotonic ms */
  readonly #lastSearchedAt = new Map<number, number>();
  /** by shard: when tasks last migrated from it to a shard without free capacity, monotonic ms */
  readonly #lastBalancedAt = new Map<number, number>();
  /** jobs for which it was logged that their migration exceeds the limits of the store */
  readonly #loggedAsTooLarge = new WeakSet<JobState>();

  constructor(private readonly dependencies: TaskMigrationDependencies) {}

  /** Begins at most one migration of tasks that fit nowhere, and at most one that reunites a job. */
  migrateUnschedulable(index: number, owned: OwnedShard, now: number): void {
    if (now - (this.#lastSearchedAt.get(index) ?? -Infinity) < MIGRATION_INTERVAL_MS) return;
    this.#lastSearchedAt.set(index, now);
    const sinceBalanced = now - (this.#lastBalancedAt.get(index) ?? -Infinity);
    const mayBalance = sinceBalanced >= BALANCING_INTERVAL_MS;
    const planner = new MigrationPlanner(this.dependencies, owned.shard, mayBalance, now);
    const reunion = planner.nextReunion();
    if (reunion !== null) this.#beginReunion(owned, reunion);
    // The free capacity that another node announced can be used only once.
    const migration = planner.next();
    if (migration === null) return;
    if (migration.reason === 'balancing') this.#lastBalancedAt.set(index, now);
    this.#begin(owned, migration);
  }

  /** Begins the migration. Returns false if it exceeds the limits of the store. */
  #begin(owned: OwnedShard, migration: Migration): boolean {
    const { cache, config } = this.dependencies;
    const context = { cache, storeLimits: config.storeLimits };
    const transaction = migrationTransaction(context, owned.shard.index, migration);
    if (transaction === null) {
      this.#logTooLarge(owned, migration);
      return false;
    }
    owned.shard.beginMigration(migration.job, migration.ranges);
    void this.#commit(owned, migration, transaction);
    return true;
  }

  /** Begins the reunion with all ranges that fit into one transaction. */
  #beginReunion(owned: OwnedShard, reunion: Migration): void {
    for (let count = reunion.ranges.length; count > 0; count = Math.floor(count / 2)) {
      if (this.#begin(owned, { ...reunion, ranges: reunion.ranges.slice(0, count) })) return;
    }
  }

  #logTooLarge({ shard }: OwnedShard, { job, ranges, reason }: Migration): void {
    if (this.#loggedAsTooLarge.has(job)) return;
    this.#loggedAsTooLarge.add(job);
    const fields = { job: job.spec.uid, shard: shard.index, ranges: ranges.length, reason };
    this.dependencies.log.info(fields, 'migration exceeds the limits of the store');
  }

  /** Repeats the transaction until its outcome is known or this node no longer owns the shard. */
  async #commit(owned: OwnedShard, migration: Migration, transaction: Transaction): Promise<void> {
    const { job, ranges } = migration;
    for (;;) {
      try {
        await this.#attempt(owned, migration, transaction);
        return;
      } catch (error) {
        if (!(error instanceof StoreRequestError)) throw error;
        if (!this.dependencies.isOwned(owned)) return;
        if (error.kind === 'invalid') {
          owned.shard.endMigration(job, ranges, false, this.dependencies.now());
          return;
        }
        await sleep(STORE_RETRY_MS);
      }
    }
  }

  async #attempt(owned: OwnedShard, migration: Migration, transaction: Transaction): Promise<void> {
    const { client, cache, now, log } = this.dependencies;
    const { job, ranges, target, reason } = migration;
    // Completions of a cut range may still be saved with its old end; readers cut off the excess of the bitmap.
    const { guards, writes } = transaction;
    const { authorization, shard } = owned;
    const priority = CALL_PRIORITY.completion;
    const result = await fencedCompareAndSwap(client, authorization, priority, guards, writes);
    if (!result.ok) {
      await this.#settleConflict(owned, migration, transaction);
      return;
    }
    cache.applyOwnWrites(writes, result.epoch);
    shard.endMigration(job, ranges, true, now());
    const tasks = ranges.reduce((sum, { from, to }) => sum + to - from, 0);
    const fields = { job: job.spec.uid, shard: shard.index, to: target.shard, tasks, reason };
    log.info(fields, 'tasks migrated');
  }

  /**
   * Settles a conflict by the current record: after a lost answer, the conflict may result from the success of an
   * earlier attempt. The cache must show the current record too, because the old one would bring the tasks back as not
   * started, and the completions that migrated with it: without them, this node would start completed tasks again if it
   * also owns the target.
   */
  async #settleConflict(
    { shard }: OwnedShard,
    { job, ranges }: Migration,
    { writes }: Transaction,
  ): Promise<void> {
    const { client, cache, now } = this.dependencies;
    const { uid } = job.spec;
    const key = storeKey.activeJob(uid);
    const result = await client.get(key, CALL_PRIORITY.completion);
    let isMigrated = false;
    if (!('missing' in result)) {
      const { value, revision } = result;
      // All writes of a transaction get the same revision.
      const isOwnRecord = writes.some((write) => isDeepStrictEqual(write, { put: key, value }));
      cache.applyOwnWrites(isOwnRecord ? writes : [{ put: key, value }], revision);
      const present = decodeJob(uid, value).ranges;
      // The ranges migrate together, so one of them shows whether all have.
      const task = ranges[0]!.from;
      isMigrated = !present.some(
        ({ shard: owner, from, to }) => owner === shard.index && from <= task && task < to,
      );
    }
    shard.endMigration(job, ranges, isMigrated, now());
  }
}
