/** Search for complementary jobs within one scheduling pass. */
import { placeableTasks } from '../reachability/failure-tracker.js';
import type { JobState, WorkCounters } from '../shard/types.js';
import { findComplement, type TaskGroup } from './pairing.js';

/**
 * Finds, for a job of the queue, the job behind it whose tasks complement its tasks best. Jobs behind it can only lose
 * waiting tasks during a pass, so a complement stays the best one until none of its tasks can be placed any more.
 * The result is therefore kept, and the search is made once per job and not once per task.
 */
export class ComplementFinder {
  #lastResult: { readonly job: JobState; readonly partner: JobState | null } | null = null;
  /** false if all jobs have the same dominant resource, so that no job has a complement */
  readonly #hasSeveralDominantResources: boolean;

  constructor(
    private readonly queue: readonly JobState[],
    private readonly now: number,
    private readonly work: WorkCounters,
  ) {
    const dominantResources = new Set<string>();
    for (const job of queue) {
      if (job.spec.kind !== 'gang') dominantResources.add(job.dominantResource);
    }
    this.#hasSeveralDominantResources = dominantResources.size > 1;
  }

  /** Returns the complement of the job at this position of the queue, or null if it has none. */
  complementOf(job: JobState, position: number): JobState | null {
    if (!this.#hasSeveralDominantResources) return null;
    if (this.#lastResult?.job === job) {
      const { partner } = this.#lastResult;
      if (partner === null || placeableTasks(partner, this.now) > 0) return partner;
    }
    const partner =
      findComplement(job.demandShare, this.#groupsBehind(job, position))?.item ?? null;
    this.#lastResult = { job, partner };
    return partner;
  }

  *#groupsBehind(job: JobState, position: number): Iterable<TaskGroup<JobState>> {
    for (let i = position + 1; i < this.queue.length; i++) {
      const item = this.queue[i]!;
      if (item.spec.kind === 'gang' || item.dominantResource === job.dominantResource) continue;
      this.work.jobsCompared += 1;
      yield { item, share: item.demandShare, count: placeableTasks(item, this.now) };
    }
  }
}
