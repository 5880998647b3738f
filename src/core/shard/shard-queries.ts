/** Read-only queries on a shard's state for other modules. */
import { ROUNDING_TOLERANCE } from '../constants.js';
import { PRIORITY_RANK } from '../model.js';
import { freeTaskSlots } from '../placement/machine-capacity.js';
import { tasksNeedingCapacity } from '../reachability/failure-tracker.js';
import type { ShardState } from './shard-state.js';
import type { ClassActivity, MachineState, PreemptibleMachine } from './types.js';

/** Returns the number of tasks of this priority rank or a higher one that wait for capacity. */
export const waitingTasks = (state: ShardState, rank: number, now: number): number => {
  let count = 0;
  for (const job of state.jobs.values()) {
    if (job.priorityRank >= rank) count += tasksNeedingCapacity(job, now);
  }
  return count;
};

/** Returns the number of waiting and placed tasks of each class. */
export const activeTasksByClass = (state: ShardState, now: number): ClassActivity[] => {
  const tasksOf = new Map<string, number>();
  for (const job of state.jobs.values()) {
    const { jobClass } = job.spec;
    if (job.ended) continue;
    const tasks = tasksNeedingCapacity(job, now) + job.placements.size;
    tasksOf.set(jobClass, (tasksOf.get(jobClass) ?? 0) + tasks);
  }
  return [...tasksOf].map(([jobClass, tasks]) => ({ jobClass, tasks }));
};

/** Returns the machines whose tasks could all be preempted, each with the lowest rank that could do so. */
export const preemptibleMachines = (state: ShardState, now: number): PreemptibleMachine[] => {
  if (!state.settings.preempt) return [];
  const preemptible: PreemptibleMachine[] = [];
  for (const machine of state.machines.values()) {
    if (machine.tasks.size === 0 || machine.reservation !== null) continue;
    if (!state.health.isSchedulable(machine, now)) continue;
    let rank = 0;
    for (const job of machine.tasksByJob.keys()) rank = Math.max(rank, job.priorityRank + 1);
    if (rank <= PRIORITY_RANK.production) preemptible.push({ machine, rank });
  }
  return preemptible;
};

/** Returns the machines that could take a task now. */
export const machinesWithFreeCapacity = (state: ShardState, now: number): MachineState[] => {
  // Nearly every task takes some CPU and memory, so a machine without either is of no use to other shards.
  const hasFreeCapacity = (machine: MachineState) =>
    machine.free.cpus > ROUNDING_TOLERANCE &&
    machine.free.memoryGb > ROUNDING_TOLERANCE &&
    freeTaskSlots(machine) > 0;
  return [...state.machines.values()].filter(
    (machine) =>
      hasFreeCapacity(machine) &&
      state.health.isSchedulable(machine, now) &&
      machine.reservation === null,
  );
};

/**
 * Returns the machines that have confirmed this shard's term, but whose record is not marked as up yet. No task may
 * start there before it is.
 */
export const newlyReadyMachines = (state: ShardState): MachineState[] =>
  [...state.machines.values()].filter(
    (machine) => machine.confirmedSince !== null && !machine.record.up && !machine.terminating,
  );

/** Whether some machine has used up the fencing tokens of this term, so that it gets no direct starts any more. */
export const hasExhaustedTokens = (state: ShardState): boolean => {
  for (const { fencing } of state.machines.values()) if (fencing.isExhausted) return true;
  return false;
};

/** Returns the machines that should be asked for their task list by direct command. */
export const machinesToProbe = (state: ShardState): MachineState[] =>
  [...state.machines.values()].filter((machine) => state.health.needsProbe(machine));

/**
 * Whether some machines should send heartbeats, but none of them has done so for `forMs`. If so, the fault is likely
 * on this node's side. Answers to direct commands do not count as heartbeats.
 */
export const allHeartbeatsLost = (state: ShardState, now: number, forMs: number): boolean => {
  let silentCount = 0;
  for (const machine of state.machines.values()) {
    if (machine.terminating || !machine.record.up) continue;
    if (now - Math.max(machine.lastHeartbeatAt, machine.trackedSince) < forMs) return false;
    silentCount += 1;
  }
  return silentCount > 0;
};
