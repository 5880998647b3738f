/** How many tasks a machine can take, by its free capacity and by the length of its worker's task list. */
import { MAX_TASKS_PER_MACHINE } from '../constants.js';
import { fitCount, fits, type Resources } from '../model.js';
import type { JobState, MachineState } from '../shard/types.js';
import { tasksAllowedInZone } from './zones.js';

/** Returns how many more tasks the worker can list, besides the present ones and those that it has yet to forget. */
export const freeTaskSlots = ({ tasks, endedTaskCount }: MachineState): number =>
  Math.max(0, MAX_TASKS_PER_MACHINE - tasks.size - endedTaskCount);

/** Returns whether a task with this demand, or several with this demand in total, can be placed on the machine. */
export const hasCapacityFor = (machine: MachineState, demand: Resources, tasks = 1): boolean =>
  fits(demand, machine.free) && freeTaskSlots(machine) >= tasks;

/** Returns how many tasks with this demand can be placed on the machine. */
export const tasksThatFit = (machine: MachineState, demand: Resources): number =>
  Math.min(fitCount(demand, machine.free), freeTaskSlots(machine));

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
