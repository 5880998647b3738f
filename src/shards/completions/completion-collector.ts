/** Collects the completions of a shard that are due to be saved. */
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

/** A range of an unfinished job with completions that are not saved yet. */
interface RangeProgress {
  readonly job: JobState;
  readonly range: TaskRange;
  /** the job has no open task left in this shard: somebody may wait for the end of this range */
  readonly isUrgent: boolean;
}

const hasOpenTasks = (job: JobState): boolean =>
  job.waitingTasks.length + job.placements.size + job.migratingTasks.length > 0;

const completedTasks = (job: JobState): { has(index: number): boolean } => ({
  has: (index) => job.savedCompletions.has(index) || job.unsavedCompletions.has(index),
});

const unsavedIn = (job: JobState, { from, to }: TaskRange): number[] =>
  [...job.unsavedCompletions].filter((index) => index >= from && index < to);

/** Whether every task is done: those of this shard by its own state, those of others by what they saved. */
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

const addProgress = (
  { cache, storeLimits }: CompletionContext,
  batch: CompletionBatch,
  shard: number,
  progress: readonly RangeProgress[],
): void => {
  const slots = CompletionSlots.load(cache, shard, storeLimits.valueBytes);
  const changed = new Set<number>();
  for (const { job, range } of progress) {
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
    batch.savedTasks.push({ uid, indexes: unsavedIn(job, range) });
  }
  for (const slot of changed) slots.addWrite(batch, slot);
};

/** Adds the job's end to the batch, or returns its ranges with unsaved completions. */
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
  return ownRanges
    .filter(({ from, to }) =>
      [...job.unsavedCompletions].some((index) => index >= from && index < to),
    )
    .map((range) => ({ job, range, isUrgent: !isOpen }));
};

/**
 * One batch: ended jobs move to their final state at once, completed tasks of the others go into bitmaps when
 * that is due. What has no room waits for the next batch.
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
