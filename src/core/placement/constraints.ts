import type { JobSpec } from '../model.js';
import type { JobState, MachineState } from '../shard/types.js';
import type { ShardState } from '../shard/shard-state.js';
import { tasksAllowedInZone } from './zones.js';

/** Everything about a job, besides its size, that decides where it may go: jobs that share it are alike. */
export const constraintKey = (spec: JobSpec): string => {
  const { types, zone, spot, oneZone, spread } = spec;
  const gang = spec.kind === 'gang';
  return `${types?.join() ?? '*'} ${zone ?? '*'} ${spot} ${oneZone} ${spread} ${gang}`;
};

/** Whether a usable machine may take a task of the job, by its kind and the job's other tasks. */
export const satisfiesConstraints = (m: MachineState, job: JobState, now: number): boolean => {
  const { spec } = job;
  if (spec.types !== null && !spec.types.includes(m.record.type)) return false;
  if (m.record.spot && !spec.spot) return false;
  if (m.reservation !== null && m.reservation.uid !== spec.uid) return false;
  if (job.avoidedMachines.size > 0 && (job.avoidedMachines.get(m.record.name) ?? -Infinity) > now)
    return false;
  if (m.faultStatus !== 'healthy' && m.tasks.size > 0) return false;
  return tasksAllowedInZone(job, m.record.zone) > 0;
};

/** The one check that every start passes. */
export const isFeasible = (
  state: ShardState,
  m: MachineState,
  job: JobState,
  now: number,
): boolean => state.health.isSchedulable(m, now) && satisfiesConstraints(m, job, now);
