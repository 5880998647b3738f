/** A planned migration of tasks between shards, and the transaction that carries it out. */
import type { JobRecord, TaskRange } from '../../core/model.js';
import type { JobState } from '../../core/shard/shard.js';
import { encodeJob } from '../../store/codecs/job.js';
import { storeKey } from '../../store/keys.js';
import type { Cached } from '../../store/watch-cache.js';
import { CompletionBatch } from '../completions/completion-batch.js';
import type { CompletionContext } from '../completions/completion-context.js';
import {
  bitmapLength,
  CompletionSlots,
  rangeName,
  slotBytes,
} from '../completions/completion-slots.js';
import { MAX_RECORD_FILL } from '../constants.js';
import type { Transaction } from '../transaction.js';

/**
 * Why tasks migrate:
 *
 * - `room`: the other shard has free capacity;
 * - `balancing`: it has none either, but is allocated less;
 * - `reunion`: it is the home shard of a job that is divided, although it requires a single shard.
 */
export type MigrationReason = 'room' | 'balancing' | 'reunion';

/** A migration of ranges, or ends of ranges, of a job to another shard. */
export interface Migration {
  readonly job: JobState;
  readonly record: Cached<JobRecord>;
  /** the migrating tasks, in the shard that they leave */
  readonly ranges: readonly TaskRange[];
  readonly target: { readonly shard: number; readonly term: number };
  readonly reason: MigrationReason;
}

/** Returns the ranges of the job's record after the migration. */
const rangesAfter = ({ record, ranges, target }: Migration): TaskRange[] =>
  record.value.ranges.flatMap((present) => {
    const migrating = ranges.find(({ to }) => to === present.to);
    if (migrating === undefined) return [present];
    const migrated = { from: migrating.from, to: migrating.to, ...target };
    if (migrating.from === present.from) return [migrated];
    return [{ ...present, to: migrating.from }, migrated];
  });

/**
 * Adds the writes that put the completions of whole ranges among those of the target. A range that is cut has none
 * behind the cut. Returns false if they do not fit into the batch.
 */
const addCompletions = (
  batch: CompletionBatch,
  { cache, storeLimits }: CompletionContext,
  source: number,
  { job, ranges, target }: Migration,
): boolean => {
  // A replica of a service never completes.
  if (job.savedCompletions.size === 0 || job.spec.kind === 'service') return true;
  const { uid } = job.spec;
  const slots = CompletionSlots.load(cache, target.shard, storeLimits.valueBytes);
  const changed = new Set<number>();
  for (const { from, to } of ranges) {
    const bitmap = cache.completedTasks(source, uid, from)?.slice(0, bitmapLength(to - from));
    if (bitmap !== undefined) changed.add(slots.place(rangeName(uid, from), bitmap));
  }
  for (const slot of changed) {
    const bytes = slotBytes(slots.get(slot));
    if (!batch.fits(1, bytes)) return false;
    batch.reserve(bytes);
    slots.addWrite(batch, slot);
  }
  return true;
};

/**
 * Returns the transaction that carries out the migration from the shard `source`, or null if it exceeds the limits of
 * the store. The completions of the ranges migrate with them, so a reader sees all of them before and after.
 */
export const migrationTransaction = (
  context: CompletionContext,
  source: number,
  migration: Migration,
): Transaction | null => {
  const { valueBytes, transactionOps } = context.storeLimits;
  const { job, record } = migration;
  const ranges = rangesAfter(migration);
  const value = encodeJob({ ...record.value, ranges });
  const bytes = JSON.stringify(value).length;
  // A further range needs space for those that follow it.
  const fill = ranges.length > record.value.ranges.length ? MAX_RECORD_FILL : 1;
  if (bytes > valueBytes * fill) return null;
  const batch = new CompletionBatch(transactionOps);
  batch.reserve(bytes);
  batch.add({ put: storeKey.activeJob(job.spec.uid), value }, record.revision);
  return addCompletions(batch, context, source, migration) ? batch : null;
};
