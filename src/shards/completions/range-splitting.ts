/**
 * Splitting of ranges that were cut when values of the store could be larger, and whose bitmaps fit none now.
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

/** Where a range is cut: its end becomes as long as a range may be, on a full character of the bitmap. */
const splitIndex = ({ from, to }: TaskRange, maxTasks: number): number =>
  from + Math.ceil((to - from - maxTasks) / 4) * 4;

const rangesAfterSplit = (
  ranges: readonly TaskRange[],
  long: TaskRange,
  cut: number,
): TaskRange[] =>
  ranges.flatMap((range) =>
    range === long
      ? [
          { ...range, to: cut },
          { ...range, from: cut },
        ]
      : [range],
  );

/** Null if the job's record would not fit a value with one more range. */
const splitRange = (
  { cache, storeLimits }: CompletionContext,
  shard: number,
  job: Cached<JobRecord>,
  long: TaskRange,
): CompletionBatch | null => {
  const { valueBytes, transactionOps } = storeLimits;
  const { uid } = job.value.spec;
  const cut = splitIndex(long, maxRangeTasks(valueBytes));
  const value = encodeJob({ ...job.value, ranges: rangesAfterSplit(job.value.ranges, long, cut) });
  if (JSON.stringify(value).length > valueBytes) return null;
  const batch = new CompletionBatch(transactionOps);
  batch.add({ put: storeKey.activeJob(uid), value }, job.revision);
  // The value may still hold the bitmap of an earlier, longer cut.
  const bitmap = cache
    .completedTasks(shard, uid, long.from)
    ?.slice(bitmapLength(cut - long.from), bitmapLength(long.to - long.from));
  if (bitmap !== undefined && bitmap.length > 0) {
    const slots = CompletionSlots.load(cache, shard, valueBytes);
    slots.addWrite(batch, slots.place(rangeName(uid, cut), bitmap));
  }
  return batch;
};

/**
 * Cuts the end off one range of the shard that is too long: it becomes a range of its own, with its part of
 * the bitmap, in one transaction. Whoever reads before or after sees all of it. Null if no range is too long.
 */
export const splitLongRange = (
  context: CompletionContext,
  { index, jobs }: Shard,
): CompletionBatch | null => {
  const maxTasks = maxRangeTasks(context.storeLimits.valueBytes);
  if (maxTasks >= MAX_RANGE_TASKS) return null;
  for (const { spec, ended } of jobs.values()) {
    const job = ended ? undefined : context.cache.tables.activeJobs.get(spec.uid);
    const long = job?.value.ranges.find(
      (range) => range.shard === index && range.to - range.from > maxTasks,
    );
    if (job === undefined || long === undefined) continue;
    const batch = splitRange(context, index, job, long);
    if (batch !== null) return batch;
  }
  return null;
};
