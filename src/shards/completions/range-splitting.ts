/**
 * Splitting of ranges that were created while the store allowed larger values, and whose bitmaps no longer fit into
 * one value.
 */
import { MAX_RANGE_TASKS } from '../../core/jobs/constants.js';
import { maxRangeTasks } from '../../core/jobs/jobs.js';
import type { JobRecord, TaskRange } from '../../core/model.js';
import type { Shard } from '../../core/shard/shard.js';
import { encodeJob } from '../../store/codecs/job.js';
import { storeKey } from '../../store/keys.js';
import type { Cached } from '../../store/watch-cache.js';
import { CompletionBatch } from './completion-batch.js';
import type { CompletionContext } from './completion-context.js';
import { bitmapLength, CompletionSlots, rangeName } from './completion-slots.js';

/**
 * Returns the index of the task at which to split a range. The second part becomes at most as long as a range may be,
 * and begins at a full character of the bitmap.
 */
const splitIndex = ({ from, to }: TaskRange, maxTasks: number): number =>
  from + Math.ceil((to - from - maxTasks) / 4) * 4;

const rangesAfterSplit = (
  ranges: readonly TaskRange[],
  longRange: TaskRange,
  splitAt: number,
): TaskRange[] =>
  ranges.flatMap((range) =>
    range === longRange
      ? [
          { ...range, to: splitAt },
          { ...range, from: splitAt },
        ]
      : [range],
  );

/** Returns the batch that splits the range, or null if the job's record with one more range would not fit a value. */
const splitRange = (
  { cache, storeLimits }: CompletionContext,
  shard: number,
  job: Cached<JobRecord>,
  longRange: TaskRange,
): CompletionBatch | null => {
  const { valueBytes, transactionOps } = storeLimits;
  const { uid } = job.value.spec;
  const splitAt = splitIndex(longRange, maxRangeTasks(valueBytes));
  const value = encodeJob({
    ...job.value,
    ranges: rangesAfterSplit(job.value.ranges, longRange, splitAt),
  });
  if (JSON.stringify(value).length > valueBytes) return null;
  const batch = new CompletionBatch(transactionOps);
  batch.add({ put: storeKey.activeJob(uid), value }, job.revision);
  // The stored bitmap may still be that of the range before an earlier split, and so longer than the range.
  const bitmap = cache
    .completedTasks(shard, uid, longRange.from)
    ?.slice(bitmapLength(splitAt - longRange.from), bitmapLength(longRange.to - longRange.from));
  if (bitmap !== undefined && bitmap.length > 0) {
    const slots = CompletionSlots.load(cache, shard, valueBytes);
    slots.addWrite(batch, slots.place(rangeName(uid, splitAt), bitmap));
  }
  return batch;
};

/**
 * Returns a batch that splits one range of the shard that is too long, or null if there is none that can be split.
 * The end of the range becomes a range of its own. Its part of the bitmap moves in the same transaction, so a reader
 * sees all completed tasks before and after the split.
 */
export const splitLongRange = (
  context: CompletionContext,
  { index, jobs }: Shard,
): CompletionBatch | null => {
  const maxTasks = maxRangeTasks(context.storeLimits.valueBytes);
  if (maxTasks >= MAX_RANGE_TASKS) return null;
  for (const { spec, ended } of jobs.values()) {
    const job = ended ? undefined : context.cache.tables.activeJobs.get(spec.uid);
    const longRange = job?.value.ranges.find(
      (range) => range.shard === index && range.to - range.from > maxTasks,
    );
    if (job === undefined || longRange === undefined) continue;
    const batch = splitRange(context, index, job, longRange);
    if (batch !== null) return batch;
  }
  return null;
};
