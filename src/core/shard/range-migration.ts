/**
 * Task migration in the state of the source shard. Between `beginMigration` and `endMigration` the tasks are in no
 * queue, so they start nowhere until the transaction that migrates them is known to have succeeded or failed.
 */
import { homeShard, isDivided } from '../jobs/single-shard.js';
import type { JobRecord, TaskRange } from '../model.js';
import { MIGRATION_COOLDOWN_MS } from './constants.js';
import type { ShardState } from './shard-state.js';
import type { JobState } from './types.js';

/**
 * Returns the tasks of the job that may migrate to another shard, as ranges or ends of ranges; none if the list is
 * empty. A job that requires a single shard migrates with all tasks of all its ranges. Of other jobs all tasks behind
 * the last one of a range that does not wait may migrate.
 */
export const migratableRanges = (
  state: ShardState,
  job: JobState,
  record: JobRecord,
): readonly TaskRange[] => {
  if (!mayMigrate(state, job)) return [];
  if (!job.requiresSingleShard) return waitingEnd(state, job, record);
  const isComplete = !isDivided(record) && job.ownTasks.size === job.spec.tasks;
  return isComplete && hasNothingToSettle(job) ? record.ranges : [];
};

/**
 * Returns the ranges with which a job that is divided between shards, although it requires a single one, has to return
 * to its home shard. The list is empty in the home shard, and while tasks of the job are placed here.
 */
export const rangesToReunite = (
  state: ShardState,
  job: JobState,
  record: JobRecord,
): readonly TaskRange[] => {
  const isAway = isDivided(record) && homeShard(record) !== state.index;
  if (!isAway || !mayMigrate(state, job) || !hasNothingToSettle(job)) return [];
  return record.ranges.filter(({ shard }) => shard === state.index);
};

/**
 * Stops the replicas of a divided service outside its home shard, since they never end by themselves. Tasks of arrays
 * and gangs do.
 */
export const stopReplicasAwayFromHome = (
  state: ShardState,
  job: JobState,
  record: JobRecord,
  now: number,
): void => {
  if (job.spec.kind !== 'service' || homeShard(record) === state.index) return;
  for (const placement of [...job.placements.values()]) state.requestStop(placement, 0, now);
};

/**
 * Whether any tasks of the job may migrate now. None of them may be running, so the shard must have recovered if it
 * inherited tasks of the job.
 */
const mayMigrate = (state: ShardState, job: JobState): boolean =>
  !job.ended && !job.isMigrating && (job.inheritedTasks.size === 0 || state.recovered);

/** Whether no task of the job is placed here, and the store knows all that have completed here. */
const hasNothingToSettle = (job: JobState): boolean =>
  job.placements.size === 0 && job.unsavedCompletions.size === 0;

/** Returns the waiting tasks at the end of the first range of this shard that has any. */
const waitingEnd = (
  state: ShardState,
  job: JobState,
  { ranges }: JobRecord,
): readonly TaskRange[] => {
  for (const range of ranges) {
    if (range.shard !== state.index) continue;
    let from = range.to;
    while (from > range.from && job.waitingTasks.has(from - 1)) from -= 1;
    if (from < range.to) return [{ ...range, from }];
  }
  return [];
};

/** Takes the tasks of the ranges out of the queue. Called before the transaction that migrates them is sent. */
export const beginMigration = (job: JobState, ranges: readonly TaskRange[]): void => {
  job.isMigrating = true;
  for (const { from, to } of ranges) {
    for (let task = from; task < to; task++) {
      if (job.waitingTasks.delete(task)) job.migratingTasks.push(task);
    }
  }
};

/**
 * Applies the outcome: after a success the tasks of the ranges belong to the other shard, after a failure they wait
 * here again.
 */
export const endMigration = (
  job: JobState,
  ranges: readonly TaskRange[],
  succeeded: boolean,
  now: number,
): void => {
  const tasks = job.migratingTasks;
  job.migratingTasks = [];
  job.isMigrating = false;
  job.nextMigrationAt = now + MIGRATION_COOLDOWN_MS;
  job.unschedulableSince = null;
  if (succeeded) {
    for (const range of ranges) removeRange(job, range);
    return;
  }
  if (job.ended) return;
  for (const task of tasks) job.waitingTasks.add(task);
  job.waitingTasks.sort();
};

const removeRange = (job: JobState, { from, to }: TaskRange): void => {
  for (let task = from; task < to; task++) {
    job.ownTasks.delete(task);
    job.inheritedTasks.delete(task);
    job.savedCompletions.delete(task);
  }
};
