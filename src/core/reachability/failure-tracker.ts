/**
 * Failing tasks: the machine's fault or the job's. A faulty machine fails tasks of every job, a faulty job fails on
 * every machine (docs/incidents/2026-12-02-faulty-jobs.md). A job that has failed on several machines without a
 * success between is suspect: it says little against a machine, and it is retried with few tasks and growing
 * backoff.
 */
import type { FaultStatus, JobState, MachineState } from '../shard/types.js';
import {
  JOB_BACKOFF_S,
  MACHINE_AVOIDANCE_MS,
  QUARANTINE_FAILED_JOBS,
  QUARANTINE_SUSPECT_JOBS,
  REPLICA_STABLE_MS,
  SUSPECT_FAILURES,
  SUSPECT_JOB_PROBE_MS,
} from './constants.js';

/** The job has failed on machine after machine, and nothing of it has succeeded since. */
export const isSuspect = (job: JobState): boolean =>
  job.spec.kind !== 'service' && job.consecutiveFailures >= SUSPECT_FAILURES;

/** A task of the job has run for longer than failing ones do. */
const hasStableTask = (job: JobState, now: number): boolean => {
  for (const { runningSince } of job.placements.values()) {
    if (runningSince !== null && now - runningSince > SUSPECT_JOB_PROBE_MS) return true;
  }
  return false;
};

/**
 * How many waiting tasks of the job need capacity: of a suspect array one at a time, of a suspect job none while it
 * backs off.
 */
export const tasksNeedingCapacity = (job: JobState, now: number): number => {
  if (job.ended) return 0;
  const waiting = job.waitingTasks.length;
  if (!isSuspect(job)) return waiting;
  if (job.backoffUntil > now) return 0;
  if (job.spec.kind === 'gang' || hasStableTask(job, now)) return waiting;
  return job.placements.size === 0 ? Math.min(1, waiting) : 0;
};

/** How many waiting tasks of the job may be placed now. */
export const placeableTasks = (job: JobState, now: number): number =>
  job.gangBroken || job.backoffUntil > now ? 0 : tasksNeedingCapacity(job, now);

/** Takes in how tasks ended, and judges machines and jobs by it. */
export class FailureTracker {
  constructor(private readonly machines: ReadonlyMap<string, MachineState>) {}

  /**
   * A task completed: its job can succeed, and its machine was healthy. A machine that is quarantined already stays
   * so, since what completes there may have begun before it became faulty.
   */
  recordTaskSuccess(machine: MachineState, job: JobState): void {
    if (machine.faultStatus !== 'quarantined') {
      machine.failedJobs.clear();
      machine.faultStatus = 'healthy';
    }
    const cleared = job.consecutiveFailures > 0;
    job.consecutiveFailures = 0;
    if (cleared) this.#judgeMachinesThatFailed(job);
  }

  /** A task failed on the machine. A dozen tasks of an array that fail together there are one failure. */
  recordTaskFailure(machine: MachineState, job: JobState, now: number): void {
    const { name } = machine.record;
    machine.failedJobs.set(job.spec.uid, job);
    const countedRecently = (job.avoidedMachines.get(name) ?? -Infinity) > now;
    job.avoidedMachines.set(name, now + MACHINE_AVOIDANCE_MS);
    if (!countedRecently) {
      this.countFailure(job, now);
      if (job.consecutiveFailures === SUSPECT_FAILURES) this.#judgeMachinesThatFailed(job);
    }
    judge(machine);
  }

  /** Counts a failure of the job, or a replica that ended by itself: from the second on the job backs off. */
  countFailure(job: JobState, now: number): void {
    const stable = job.spec.kind === 'service' && now - job.lastFailureAt > REPLICA_STABLE_MS;
    job.consecutiveFailures = stable ? 1 : job.consecutiveFailures + 1;
    job.lastFailureAt = now;
    if (job.consecutiveFailures >= SUSPECT_FAILURES) this.startBackoff(job, now);
  }

  /** Nothing of the job is placed for a while; each further failure doubles it. */
  startBackoff(job: JobState, now: number): void {
    const doublings = Math.max(0, job.consecutiveFailures - SUSPECT_FAILURES);
    const backoffS = Math.min(JOB_BACKOFF_S.max, JOB_BACKOFF_S.first * 2 ** doublings);
    job.backoffUntil = now + backoffS * 1000;
    // It does not wait for capacity now, so no other shard needs to look for it.
    job.unschedulableSince = null;
  }

  #judgeMachinesThatFailed(job: JobState): void {
    for (const machine of this.machines.values()) {
      if (machine.failedJobs.has(job.spec.uid)) judge(machine);
    }
  }
}

/** By the jobs that failed there without a success between; suspect ones count for little. */
const judge = (machine: MachineState): void => {
  machine.faultStatus = faultStatusOf(machine);
  // It was to be emptied only because it was quarantined; what is orphaned stays so.
  if (machine.faultStatus !== 'quarantined' && machine.lifecycle === 'draining') {
    machine.lifecycle = 'in-service';
  }
};

const faultStatusOf = ({ failedJobs }: MachineState): FaultStatus => {
  let credible = 0;
  for (const job of failedJobs.values()) if (!isSuspect(job)) credible += 1;
  const all = failedJobs.size;
  if (credible >= QUARANTINE_FAILED_JOBS || all >= QUARANTINE_SUSPECT_JOBS) return 'quarantined';
  return credible > 0 || all >= SUSPECT_FAILURES ? 'probation' : 'healthy';
};
