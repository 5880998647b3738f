/** How many tasks a machine can take. */
import { fitCount, fits, type Resources } from '../model.js';
import type { JobState, MachineState } from '../shard/types.js';
import { tasksAllowedInZone } from './zones.js';

/** Returns whether a task with this demand can be placed on the machine. */
export const hasCapacityFor = (machine: MachineState, demand: Resources): boolean =>
  fits(demand, machine.free);

/** Returns how many tasks with this demand can be placed on the machine. */
export const tasksThatFit = (machine: MachineState, demand: Resources): number =>
  fitCount(demand, machine.free);

/** Returns how many tasks of the job a machine that satisfies its constraints can take at once. */
export const tasksPlaceableOn = (machine: MachineState, job: JobState): number => {
  // A machine that may be faulty gets one task at a time.
  const tasksByHealth = machine.faultStatus === 'healthy' ? Infinity : 1;
  return Math.min(
    tasksByHealth,
    tasksThatFit(machine, job.spec.demand),
    tasksAllowedInZone(job, machine.record.zone),
  );
};
