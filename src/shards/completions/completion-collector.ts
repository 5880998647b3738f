/** Collects the completions of a shard that are due to be saved into one transaction. */
import { encodeFinalState } from '../../store/codecs/final-state.js';
import { allDone, encodeDone } from '../../core/jobs/jobs.js';
import type { JobRecord, TaskRange } from '../../core/model.js';
import type { JobState } from '../../core/shard/types.js';
import { storeKey } from '../../store/keys.js';
import { type FinalState } from '../../store/codecs/final-state.js';
import type { Cached } from '../../store/watch-cache.js';
import type { Write } from '@sumacstep/leader-election';
import type { OwnedShard } from '../owned-shard.js';
import { CompletionBatch } from './completion-batch.js';
import type { CompletionContext } from './completion-context.js';
import { CompletionSlots, rangeName, slotBytes } from './completion-slots.js';

/** A range of an unfinished job that has unsaved completions. */
interface RangeProgress {
  readonly job: JobState;
  readonly range: TaskRange;
  /** tasks of the range whose completion is not saved yet; at least one */
  readonly unsavedTasks: readonly number[];
  /** whether the job has no open task left in this shard, so that the end of the job may depend on this range */
  readonly isUrgent: boolean;
}

const hasOpenTasks = (job: JobState): boolean =>
  job.waitingTasks.size + job.placements.size + job.migratingTasks.length > 0;

const completedTasks = (job: JobState): { has(index: number): boolean } => ({
  has: (index) => job.savedCompletions.has(index) || job.unsavedCompletions.has(index),
});

/**
 * Groups task numbers by the range that holds them; numbers in none of the ranges are left out. Tasks end roughly in
 * ascending order, so the range of a task is mostly that of the task before it.
 */
const groupByRange = (
  tasks: Iterable<number>,
  ranges: readonly TaskRange[],
): Map<TaskRange, number[]> => {
  const groups = new Map<TaskRange, number[]>();
  let current: TaskRange | undefined;
  for (const task of tasks) {
    if (current === undefined || task < current.from || task >= current.to) {
      current = ranges.find(({ from, to }) => task >= from && task < to);
    }
    if (current === undefined) continue;
    const group = groups.get(current);
    if (group === undefined) groups.set(current, [task]);
    else group.push(task);
  }
  return groups;
};

/**
 * Returns whether every task of the job is done. For tasks of this shard its own state decides, for tasks of other
 * shards the bitmaps that those have saved.
 */
const isFinished = (
  { cache }: CompletionContext,
  job: JobState,
  record: JobRecord,
  ownRanges: readonly TaskRange[],
): boolean => {
  const completed = completedTasks(job);
  const own = new Map(ownRanges.map((range) => [range.from, encodeDone(range, completed)]));
  const { uid } = job.spec;
  return allDone(
    record,
    ({ from, shard }) => own.get(from) ?? cache.completedTasks(shard, uid, from),
  );
};

/**
 * Adds the writes that replace the job's record by its final state. Leaves them to a later batch if they do not fit;
 * an empty batch takes them regardless of their size.
 */
const addFinishedJob = (batch: CompletionBatch, job: JobState, revision: number): void => {
  const { uid, tasks } = job.spec;
  const finalState: FinalState = { status: 'done', tasks, done: tasks };
  const writes: Write[] = [
    { drop: storeKey.activeJob(uid) },
    { put: storeKey.finalState(uid), value: encodeFinalState(finalState) },
  ];
  const bytes = JSON.stringify(writes).length;
  if (!batch.isEmpty && !batch.fits(writes.length, bytes)) return;
  batch.reserve(bytes);
  batch.writes.push(...writes);
  batch.guards.push({ key: storeKey.activeJob(uid), revision });
  batch.finishedJobs.push(uid);
  batch.savedTasks.push({ uid, indexes: [...job.unsavedCompletions] });
};

/** Adds the bitmaps of the ranges to the batch. Ranges whose slot does not fit are left to a later batch. */
const addProgress = (
  { cache, storeLimits }: CompletionContext,
  batch: CompletionBatch,
  shard: number,
  progress: readonly RangeProgress[],
): void => {
  const slots = CompletionSlots.load(cache, shard, storeLimits.valueBytes);
  const changed = new Set<number>();
  for (const { job, range, unsavedTasks } of progress) {
    const { uid } = job.spec;
    const name = rangeName(uid, range.from);
    const bitmap = encodeDone(range, completedTasks(job));
    const slot = slots.slotFor(name, bitmap);
    if (!changed.has(slot)) {
      const bytes = slotBytes(slots.get(slot)) + bitmap.length;
      if (!batch.fits(changed.size + 1, bytes)) continue;
      batch.reserve(bytes);
      changed.add(slot);
    }
    slots.get(slot).set(name, bitmap);
    batch.savedTasks.push({ uid, indexes: unsavedTasks });
  }
  for (const slot of changed) slots.addWrite(batch, slot);
};

/**
 * Adds the job's final state to the batch if all its tasks are done, else returns its ranges with unsaved
 * completions.
 */
const collectJob = (
  context: CompletionContext,
  batch: CompletionBatch,
  shard: number,
  job: JobState,
  active: Cached<JobRecord>,
): readonly RangeProgress[] => {
  const ownRanges = active.value.ranges.filter((range) => range.shard === shard);
  const isOpen = hasOpenTasks(job);
  if (!isOpen && isFinished(context, job, active.value, ownRanges)) {
    addFinishedJob(batch, job, active.revision);
    return [];
  }
  return [...groupByRange(job.unsavedCompletions, ownRanges)].map(([range, unsavedTasks]) => ({
    job,
    range,
    unsavedTasks,
    isUrgent: !isOpen,
  }));
};

/**
 * Collects one batch. Finished jobs get their final state at once; completed tasks of other jobs are recorded in
 * bitmaps when that is due. Writes that do not fit are left to the next batch.
 */
export const collectCompletions = (
  context: CompletionContext,
  owned: OwnedShard,
  now: number,
): CompletionBatch => {
  const { index, jobs } = owned.shard;
  const batch = new CompletionBatch(context.storeLimits.transactionOps);
  const progress: RangeProgress[] = [];
  for (const job of jobs.values()) {
    if (job.ended || job.spec.kind === 'service') continue;
    if (job.unsavedCompletions.size === 0 && hasOpenTasks(job)) continue;
    const active = context.cache.tables.activeJobs.get(job.spec.uid);
    if (active === undefined) continue;
    progress.push(...collectJob(context, batch, index, job, active));
  }
  const isDue = owned.isProgressSaveDue(now) || progress.some(({ isUrgent }) => isUrgent);
  if (isDue && progress.length > 0) {
    addProgress(context, batch, index, progress);
    owned.recordProgressSave(now);
  }
  return batch;
};
