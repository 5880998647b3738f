import {
  MACHINE_AVOIDANCE_MS,
  JOB_BACKOFF_S,
  SUSPECT_JOB_PROBE_MS,
  REPLICA_STABLE_MS,
  QUARANTINE_FAILED_JOBS,
  QUARANTINE_SUSPECT_JOBS,
  SUSPECT_FAILURES,
} from './constants.js';
import type { JobState, MachineState } from '../shard/types.js';
import type { ShardState } from '../shard/shard-state.js';

/**
 * Failing tasks: the machine's fault or the job's. A faulty machine fails tasks of every job, a faulty job
 * fails on every machine. A job that has failed on several machines without a success between is suspect:
 * it says little against a machine, and it tries again with few tasks and growing pauses.
 */

/** The job has failed on machine after machine, and nothing of it has succeeded since. */
export const isSuspect = (job: JobState): boolean =>
  job.spec.kind !== 'service' && job.consecutiveFailures >= SUSPECT_FAILURES;

/** A task of the job has run for longer than failing ones do. */
const runsWell = (job: JobState, now: number): boolean => {
  for (const { runningSince } of job.placements.values()) {
    if (runningSince !== null && now - runningSince > SUSPECT_JOB_PROBE_MS) return true;
  }
  return false;
};

/** Waiting tasks that need room: of a suspect array one at a time, of any suspect job none in its pause. */
export const tasksNeedingCapacity = (job: JobState, now: number): number => {
  if (job.ended) return 0;
  const all = job.waitingTasks.length;
  if (!isSuspect(job)) return all;
  if (job.pausedUntil > now) return 0;
  if (job.spec.kind === 'gang' || runsWell(job, now)) return all;
  return job.placements.size === 0 ? Math.min(1, all) : 0;
};

/** Waiting tasks that may be placed now. */
export const placeableTasks = (job: JobState, now: number): number =>
  job.gangBroken || job.pausedUntil > now ? 0 : tasksNeedingCapacity(job, now);

/** Takes in how tasks ended, and judges machines and jobs by it. */
export class FailureTracker {
  constructor(private readonly state: ShardState) {}

  /**
   * A task completed: its job can be well, and its machine was. A machine that is condemned already stays
   * so, since what completes there may have begun before it became faulty.
   */
  taskSucceeded(m: MachineState, job: JobState): void {
    if (!m.quarantined) {
      m.failedJobs.clear();
      m.onProbation = false;
    }
    const cleared = job.consecutiveFailures > 0;
    job.consecutiveFailures = 0;
    if (cleared) this.#judgeMachinesThatFailed(job);
  }

  /** A task failed on the machine. A dozen tasks of an array that fail together there are one failure. */
  taskFailed(m: MachineState, job: JobState, now: number): void {
    m.failedJobs.set(job.spec.uid, job);
    const again = (job.avoidedMachines.get(m.record.name) ?? -Infinity) > now;
    job.avoidedMachines.set(m.record.name, now + MACHINE_AVOIDANCE_MS);
    if (!again) {
      this.countFailure(job, now);
      if (job.consecutiveFailures === SUSPECT_FAILURES) this.#judgeMachinesThatFailed(job);
    }
    this.#judge(m);
  }

  /** Counts a failure of the job, or a replica that ended by itself: from the second on it pauses. */
  countFailure(job: JobState, now: number): void {
    const well = job.spec.kind === 'service' && now - job.lastFailureAt > REPLICA_STABLE_MS;
    job.consecutiveFailures = well ? 1 : job.consecutiveFailures + 1;
    job.lastFailureAt = now;
    if (job.consecutiveFailures >= SUSPECT_FAILURES) this.pauseJob(job, now);
  }

  /** Each further failure doubles the pause. */
  pauseJob(job: JobState, now: number): void {
    const doublings = Math.max(0, job.consecutiveFailures - SUSPECT_FAILURES);
    const seconds = Math.min(JOB_BACKOFF_S.max, JOB_BACKOFF_S.first * 2 ** doublings);
    job.pausedUntil = now + seconds * 1000;
    // It does not wait for room now, so no other shard needs to look for it.
    job.unschedulableSince = null;
  }

  #judgeMachinesThatFailed(job: JobState): void {
    for (const m of this.state.machines.values()) {
      if (m.failedJobs.has(job.spec.uid)) this.#judge(m);
    }
  }

  /** By the jobs that failed there without a success between; suspect ones count for little. */
  #judge(m: MachineState): void {
    let credible = 0;
    for (const job of m.failedJobs.values()) if (!isSuspect(job)) credible += 1;
    const all = m.failedJobs.size;
    m.onProbation = credible > 0 || all >= SUSPECT_FAILURES;
    m.quarantined = credible >= QUARANTINE_FAILED_JOBS || all >= QUARANTINE_SUSPECT_JOBS;
    // It was only to be emptied because it was condemned.
    if (!m.quarantined && !m.orphaned) m.draining = false;
  }
}
