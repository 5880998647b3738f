/** The order in which the jobs of a shard are placed. */
import { placeableTasks } from '../reachability/failure-tracker.js';
import { RESOURCE_KINDS, type Resources } from '../model.js';
import type { ShardState } from '../shard/shard-state.js';
import type { JobState } from '../shard/types.js';
import { DEFAULT_START_OBJECTIVE_S, FIRST_TASK_DUE_MS } from './constants.js';
import type { Quotas } from './quotas.js';

/** A job with tasks to place, and what decides its position in the queue besides its rank and age. */
interface QueuedJob {
  readonly job: JobState;
  /** whether its team stays within its guarantee with one more task of the job */
  readonly guaranteed: boolean;
  /** time (monotonic, ms) by which its tasks should start */
  readonly dueAt: number;
}

/**
 * Returns whether the job has tasks to place. Until recovery from an earlier owner is complete, jobs with tasks that
 * the earlier owner may have started are left out, since those tasks may still be running.
 */
export const hasPlaceableTasks = (job: JobState, recovered: boolean, now: number): boolean =>
  (recovered || job.inheritedTasks.size === 0) && placeableTasks(job, now) > 0;

/** Returns the minimum of the demands of all jobs in the queue, which must not be empty, resource by resource. */
export const minimumDemandOf = (queue: readonly JobState[]): Resources => {
  const minimum = { ...queue[0]!.spec.demand };
  for (const { spec } of queue) {
    for (const kind of RESOURCE_KINDS) minimum[kind] = Math.min(minimum[kind], spec.demand[kind]);
  }
  return minimum;
};

/**
 * Returns the jobs with tasks to place, most urgent first: by rank, then guarantee, then due time, then age. The due
 * time of a job does not change any more once all its objectives are missed. Until the first task of a job has
 * started, the due time is at most `FIRST_TASK_DUE_MS` after acceptance, so that a steady stream of newer jobs cannot
 * starve the job.
 */
export const orderedQueue = (state: ShardState, quotas: Quotas, now: number): JobState[] => {
  const { recovered, settings } = state;
  const objectivesOf = new Map<string, readonly number[]>();
  const queue: QueuedJob[] = [];
  for (const job of state.jobs.values()) {
    if (!hasPlaceableTasks(job, recovered, now)) continue;
    const { jobClass } = job.spec;
    const objectivesS = objectivesOf.get(jobClass) ?? settings.startObjectives(jobClass);
    objectivesOf.set(jobClass, objectivesS);
    // A job that has started may wait for its next objective after it has missed one. A job that has not keeps its
    // due time: otherwise newer jobs would be placed before it again and again.
    const latestDueAt = hasStarted(job) ? Infinity : job.acceptedAtMonotonic + FIRST_TASK_DUE_MS;
    const dueAt = Math.min(objectiveDueAt(job, objectivesS, now), latestDueAt);
    job.startDeadline = dueAt;
    queue.push({ job, guaranteed: quotas.staysWithinGuarantee(job), dueAt });
  }
  return queue.sort(compareUrgency).map(({ job }) => job);
};

/** Returns a negative number if `a` is more urgent. */
const compareUrgency = (a: QueuedJob, b: QueuedJob): number =>
  b.job.priorityRank - a.job.priorityRank ||
  Number(b.guaranteed) - Number(a.guaranteed) ||
  a.dueAt - b.dueAt ||
  a.job.acceptedAt - b.job.acceptedAt ||
  (a.job.spec.uid < b.job.spec.uid ? -1 : 1);

/** Returns whether a task of the job is on a machine or has completed. */
const hasStarted = (job: JobState): boolean =>
  job.placements.size + job.savedCompletions.size + job.unsavedCompletions.size > 0;

/**
 * Returns the time (monotonic, ms) by which the tasks of the job should start: its first objective that can still be
 * met, else its last one. Without objectives it is the latest start that meets the deadline of the job, or a default.
 */
const objectiveDueAt = (job: JobState, objectivesS: readonly number[], now: number): number => {
  for (const withinS of objectivesS) {
    const dueAt = job.acceptedAtMonotonic + withinS * 1000;
    if (dueAt >= now) return dueAt;
  }
  const { deadlineS, estimateS } = job.spec;
  const lastS =
    objectivesS.at(-1) ?? (deadlineS === null ? DEFAULT_START_OBJECTIVE_S : deadlineS - estimateS);
  return job.acceptedAtMonotonic + lastS * 1000;
};
