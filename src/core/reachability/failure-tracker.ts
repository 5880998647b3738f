/**
 * Attributes task failures to the machine or to the job. A faulty machine fails tasks of every job, a faulty job
 * fails on every machine (docs/incidents/2026-12-02-faulty-jobs.md). A job that has failed on several machines
 * without a success in between is suspect: its failures count little against a machine, and it is retried with few
 * tasks and growing backoff.
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

/** Whether the job has failed on several machines, and none of its tasks has succeeded since. */
export const isSuspect = (job: JobState): boolean =>
  job.spec.kind !== 'service' && job.consecutiveFailures >= SUSPECT_FAILURES;

/** Whether some task of the job has run for longer than `SUSPECT_JOB_PROBE_MS`. */
const hasStableTask = (job: JobState, now: number): boolean => {
  if (job.runningTasks === 0) return false;
  for (const { runningSince } of job.placements.values()) {
    if (runningSince !== null && now - runningSince > SUSPECT_JOB_PROBE_MS) return true;
  }
  return false;
};

/**
 * Returns how many waiting tasks of the job need capacity: none while a suspect job is in backoff, and one at a time
 * for a suspect array.
 */
export const tasksNeedingCapacity = (job: JobState, now: number): number => {
  if (job.ended) return 0;
  const waiting = job.waitingTasks.size;
  if (!isSuspect(job)) return waiting;
  if (job.backoffUntil > now) return 0;
  if (job.spec.kind === 'gang' || hasStableTask(job, now)) return waiting;
  return job.placements.size === 0 ? Math.min(1, waiting) : 0;
};

/** Returns how many waiting tasks of the job may be placed now. */
export const placeableTasks = (job: JobState, now: number): number =>
  job.gangBroken || job.isDivided || job.backoffUntil > now ? 0 : tasksNeedingCapacity(job, now);

/** Records how tasks ended, and derives from it the fault status of machines and the backoff of jobs. */
export class FailureTracker {
  constructor(private readonly machines: ReadonlyMap<string, MachineState>) {}

  /**
   * Records a completed task, which shows that its job can succeed and that its machine was healthy. A machine that
   * is already quarantined stays so, since the task may have begun before the machine became faulty.
   */
  recordTaskSuccess(machine: MachineState, job: JobState): void {
    if (machine.faultStatus !== 'quarantined') {
      machine.failedJobs.clear();
      machine.faultStatus = 'healthy';
    }
    const hadFailures = job.consecutiveFailures > 0;
    job.consecutiveFailures = 0;
    if (hadFailures) this.#updateMachinesThatFailed(job);
  }

  /** Records a failed task. A dozen tasks of an array that fail together on one machine count as one failure. */
  recordTaskFailure(machine: MachineState, job: JobState, now: number): void {
    const { name } = machine.record;
    machine.failedJobs.set(job.spec.uid, job);
    const countedRecently = (job.avoidedMachines.get(name) ?? -Infinity) > now;
    job.avoidedMachines.set(name, now + MACHINE_AVOIDANCE_MS);
    if (!countedRecently) {
      this.countFailure(job, now);
      if (job.consecutiveFailures === SUSPECT_FAILURES) this.#updateMachinesThatFailed(job);
    }
    updateFaultStatus(machine);
  }

  /** Counts a failure of the job, or a replica that ended by itself. The second and later ones start a backoff. */
  countFailure(job: JobState, now: number): void {
    const stable = job.spec.kind === 'service' && now - job.lastFailureAt > REPLICA_STABLE_MS;
    job.consecutiveFailures = stable ? 1 : job.consecutiveFailures + 1;
    job.lastFailureAt = now;
    if (job.consecutiveFailures >= SUSPECT_FAILURES) this.startBackoff(job, now);
  }

  /** Places no task of the job until a backoff has passed, which doubles with each further failure. */
  startBackoff(job: JobState, now: number): void {
    const doublings = Math.max(0, job.consecutiveFailures - SUSPECT_FAILURES);
    const backoffS = Math.min(JOB_BACKOFF_S.max, JOB_BACKOFF_S.first * 2 ** doublings);
    job.backoffUntil = now + backoffS * 1000;
    // The job does not wait for capacity now, so no other shard needs to look for capacity for it.
    job.unschedulableSince = null;
  }

  #updateMachinesThatFailed(job: JobState): void {
    for (const machine of this.machines.values()) {
      if (machine.failedJobs.has(job.spec.uid)) updateFaultStatus(machine);
    }
  }
}

/** Derives the machine's fault status from the jobs that failed there since its last success. */
const updateFaultStatus = (machine: MachineState): void => {
  machine.faultStatus = faultStatusOf(machine);
  // A machine drains only because it is quarantined, so draining ends with the quarantine. Orphaned machines stay so.
  if (machine.faultStatus !== 'quarantined' && machine.lifecycle === 'draining') {
    machine.lifecycle = 'in-service';
  }
};

/** Failures of suspect jobs count only towards `QUARANTINE_SUSPECT_JOBS` and probation. */
const faultStatusOf = ({ failedJobs }: MachineState): FaultStatus => {
  let credibleJobs = 0;
  for (const job of failedJobs.values()) if (!isSuspect(job)) credibleJobs += 1;
  const allJobs = failedJobs.size;
  if (credibleJobs >= QUARANTINE_FAILED_JOBS || allJobs >= QUARANTINE_SUSPECT_JOBS)
    return 'quarantined';
  return credibleJobs > 0 || allJobs >= SUSPECT_FAILURES ? 'probation' : 'healthy';
};
