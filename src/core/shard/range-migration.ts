/**
 * The part of a task migration that concerns the losing shard's state. Between `beginMigration` and
 * `endMigration` the tasks are in no queue, so they start nowhere until the transaction that passes them is
 * known to have succeeded or failed.
 */
import type { JobRecord } from '../model.js';
import { MIGRATION_COOLDOWN_MS } from './constants.js';
import type { ShardState } from './shard-state.js';
import type { JobState, MigratableTasks } from './types.js';

/**
 * Tasks at the end of a range that may pass to another shard: all of a job that stays whole, else as many as
 * have never been placed since the range's last placed task. Nothing of them may be running, so an inherited
 * range must be recovered first.
 */
export const migratableTasks = (
  state: ShardState,
  job: JobState,
  record: JobRecord,
): MigratableTasks | null => {
  const whole = job.spec.kind === 'gang' || job.spec.oneZone || job.spec.spread;
  if (!mayMigrate(state, job) || (whole && hasBegun(job))) return null;
  const waiting = new Set(job.waitingTasks);
  for (const range of record.ranges) {
    if (range.shard !== state.index) continue;
    let from = range.to;
    while (from > range.from && waiting.has(from - 1)) from -= 1;
    if (from < range.to && !(whole && from > range.from)) return { range, from };
  }
  return null;
};

const mayMigrate = (state: ShardState, job: JobState): boolean =>
  !job.ended &&
  job.migratingTasks.length === 0 &&
  (job.inheritedTasks.size === 0 || state.recovered);

/** Some task of it is or was on a machine. */
const hasBegun = (job: JobState): boolean =>
  job.placements.size + job.savedCompletions.size + job.unsavedCompletions.size > 0;

/** Takes the tasks from..to-1 out of the queue, before the transaction that passes them is sent. */
export const beginMigration = (job: JobState, from: number, to: number): void => {
  job.migratingTasks = job.waitingTasks.filter((task) => task >= from && task < to);
  job.waitingTasks = job.waitingTasks.filter((task) => task < from || task >= to);
};

/** The outcome is known: the tasks belong to the other shard now if they passed, else they wait here again. */
export const endMigration = (job: JobState, passed: boolean, now: number): void => {
  const tasks = job.migratingTasks;
  job.migratingTasks = [];
  job.nextMigrationAt = now + MIGRATION_COOLDOWN_MS;
  job.unschedulableSince = null;
  if (!passed) {
    if (!job.ended) job.waitingTasks = [...job.waitingTasks, ...tasks].sort((a, b) => a - b);
    return;
  }
  for (const task of tasks) {
    job.ownTasks.delete(task);
    job.inheritedTasks.delete(task);
  }
};
