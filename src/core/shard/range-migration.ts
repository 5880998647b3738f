/**
 * Task migration in the state of the source shard. Between `beginMigration` and `endMigration` the tasks are in no
 * queue, so they start nowhere until the transaction that migrates them is known to have succeeded or failed.
 */
import type { JobRecord } from '../model.js';
import { MIGRATION_COOLDOWN_MS } from './constants.js';
import type { ShardState } from './shard-state.js';
import type { JobState, MigratableTasks } from './types.js';

/**
 * Returns tasks at the end of a range that may migrate to another shard, or null if there are none. A gang, or a job
 * with a constraint on zones, migrates only in whole ranges and before any of its tasks is placed. Of other jobs all
 * tasks behind the last one of the range that does not wait may migrate. None of these tasks may be running, so
 * the shard must have recovered if it inherited tasks of the job.
 */
export const migratableTasks = (
  state: ShardState,
  job: JobState,
  record: JobRecord,
): MigratableTasks | null => {
  const whole = job.spec.kind === 'gang' || job.spec.oneZone || job.spec.spread;
  if (!mayMigrate(state, job) || (whole && hasBegun(job))) return null;
  for (const range of record.ranges) {
    if (range.shard !== state.index) continue;
    let from = range.to;
    while (from > range.from && job.waitingTasks.has(from - 1)) from -= 1;
    if (from < range.to && !(whole && from > range.from)) return { range, from };
  }
  return null;
};

/** Whether any tasks of the job may migrate now. */
const mayMigrate = (state: ShardState, job: JobState): boolean =>
  !job.ended &&
  job.migratingTasks.length === 0 &&
  (job.inheritedTasks.size === 0 || state.recovered);

/** Whether some task of the job is placed or completed. */
const hasBegun = (job: JobState): boolean =>
  job.placements.size + job.savedCompletions.size + job.unsavedCompletions.size > 0;

/** Takes the tasks from..to-1 out of the queue. Called before the transaction that migrates them is sent. */
export const beginMigration = (job: JobState, from: number, to: number): void => {
  for (let task = from; task < to; task++) {
    if (job.waitingTasks.delete(task)) job.migratingTasks.push(task);
  }
};

/** Applies the outcome: after a success the tasks belong to the other shard, after a failure they wait here again. */
export const endMigration = (job: JobState, succeeded: boolean, now: number): void => {
  const tasks = job.migratingTasks;
  job.migratingTasks = [];
  job.nextMigrationAt = now + MIGRATION_COOLDOWN_MS;
  job.unschedulableSince = null;
  if (!succeeded) {
    if (job.ended) return;
    for (const task of tasks) job.waitingTasks.add(task);
    job.waitingTasks.sort();
    return;
  }
  for (const task of tasks) {
    job.ownTasks.delete(task);
    job.inheritedTasks.delete(task);
  }
};
