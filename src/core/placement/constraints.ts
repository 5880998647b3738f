/** Placement constraints: on which machines a task of a job may run, apart from the capacity that it needs. */
import type { JobSpec } from '../model.js';
import type { JobState, MachineState } from '../shard/types.js';
import type { ShardState } from '../shard/shard-state.js';
import { tasksAllowedInZone } from './zones.js';

/**
 * Returns a key of all properties of a job that restrict where it may run, apart from its demand and its number of
 * tasks. Jobs with equal keys have the same constraints.
 */
export const constraintKey = (spec: JobSpec): string => {
  const { types, zone, spot, oneZone, spread } = spec;
  const gang = spec.kind === 'gang';
  return `${types?.join() ?? '*'} ${zone ?? '*'} ${spot} ${oneZone} ${spread} ${gang}`;
};

/**
 * Returns whether a schedulable machine may take a task of the job: by the type, zone, reservation and fault status of
 * the machine, by the machines that the job avoids, and by the zones of its other tasks.
 */
export const satisfiesConstraints = (
  machine: MachineState,
  job: JobState,
  now: number,
): boolean => {
  const { spec } = job;
  if (spec.types !== null && !spec.types.includes(machine.record.type)) return false;
  if (machine.record.spot && !spec.spot) return false;
  if (machine.reservation !== null && machine.reservation.uid !== spec.uid) return false;
  if (
    job.avoidedMachines.size > 0 &&
    (job.avoidedMachines.get(machine.record.name) ?? -Infinity) > now
  )
    return false;
  if (machine.faultStatus !== 'healthy' && machine.tasks.size > 0) return false;
  return tasksAllowedInZone(job, machine.record.zone) > 0;
};

/**
 * Returns whether a task of the job may be started on the machine now, apart from capacity: the machine is schedulable
 * and satisfies the constraints of the job. Every start has to pass these two checks.
 */
export const isFeasible = (
  state: ShardState,
  machine: MachineState,
  job: JobState,
  now: number,
): boolean => state.health.isSchedulable(machine, now) && satisfiesConstraints(machine, job, now);
