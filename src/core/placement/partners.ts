import { placeableTasks } from '../reachability/failure-tracker.js';
import type { JobState, WorkCounters } from '../shard/types.js';
import { findComplement, type TaskGroup } from './pairing.js';

/**
 * The waiting jobs of one pass, among which complements are sought. A job's complement stays the same until
 * it has no more tasks, since the jobs behind it in the queue only lose tasks during a pass: so it is
 * sought once a job, not once a task.
 */
export class ComplementFinder {
  #chosen: { readonly of: JobState; readonly partner: JobState | null } | null = null;
  readonly #severalKinds: boolean;

  constructor(
    private readonly queue: readonly JobState[],
    private readonly now: number,
    private readonly work: WorkCounters,
  ) {
    const kinds = new Set<string>();
    for (const job of queue) if (job.spec.kind !== 'gang') kinds.add(job.dominantResource);
    this.#severalKinds = kinds.size > 1;
  }

  /** The waiting job whose tasks complement the job's best, of those behind it in the queue. */
  complementOf(job: JobState, position: number): JobState | null {
    if (!this.#severalKinds) return null;
    if (this.#chosen?.of === job) {
      const { partner } = this.#chosen;
      if (partner === null || placeableTasks(partner, this.now) > 0) return partner;
    }
    const partner = findComplement(job.demandShare, this.#behind(job, position))?.item ?? null;
    this.#chosen = { of: job, partner };
    return partner;
  }

  *#behind(job: JobState, position: number): Iterable<TaskGroup<JobState>> {
    for (let at = position + 1; at < this.queue.length; at++) {
      const item = this.queue[at]!;
      if (item.spec.kind === 'gang' || item.dominantResource === job.dominantResource) continue;
      this.work.jobsCompared += 1;
      yield { item, share: item.demandShare, count: placeableTasks(item, this.now) };
    }
  }
}
