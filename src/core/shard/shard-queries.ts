/** What other modules ask of a shard's state: none of these changes it. */
import { ROUNDING_TOLERANCE } from '../constants.js';
import { PRIORITY_RANK } from '../model.js';
import { tasksNeedingCapacity } from '../reachability/failure-tracker.js';
import type { ShardState } from './shard-state.js';
import type { ClassActivity, MachineState, PreemptibleMachine } from './types.js';

/** Tasks of this priority rank or a higher one that wait for capacity. */
export const waitingTasks = (state: ShardState, rank: number, now: number): number => {
  let count = 0;
  for (const job of state.jobs.values()) {
    if (job.priorityRank >= rank) count += tasksNeedingCapacity(job, now);
  }
  return count;
};

/** Tasks of each class, waiting or placed. */
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

/** Machines on which a job of some rank could preempt everything, with the least such rank. */
export const preemptibleMachines = (state: ShardState, now: number): PreemptibleMachine[] => {
  if (!state.settings.preempt) return [];
  const preemptible: PreemptibleMachine[] = [];
  for (const machine of state.machines.values()) {
    if (machine.tasks.size === 0 || machine.reservation !== null) continue;
    if (!state.health.isSchedulable(machine, now)) continue;
    let rank = 0;
    for (const { job } of machine.tasks.values()) rank = Math.max(rank, job.priorityRank + 1);
    if (rank <= PRIORITY_RANK.production) preemptible.push({ machine, rank });
  }
  return preemptible;
};

/** Machines that could take a task now. */
export const machinesWithFreeCapacity = (state: ShardState, now: number): MachineState[] => {
  // Every task takes some CPU and memory, so a machine without either has no room.
  const hasRoom = ({ free }: MachineState) =>
    free.cpus > ROUNDING_TOLERANCE && free.memoryGb > ROUNDING_TOLERANCE;
  return [...state.machines.values()].filter(
    (machine) =>
      hasRoom(machine) && state.health.isSchedulable(machine, now) && machine.reservation === null,
  );
};

/** Machines that have acknowledged our term but whose record does not say so yet: nothing may start there. */
export const newlyReadyMachines = (state: ShardState): MachineState[] =>
  [...state.machines.values()].filter(
    (machine) => machine.confirmedSince !== null && !machine.record.up && !machine.terminating,
  );

/** Machines that should be asked for their tasks by direct command. */
export const machinesToProbe = (state: ShardState): MachineState[] =>
  [...state.machines.values()].filter((machine) => state.health.needsProbe(machine));

/**
 * Machines should send heartbeats, and none has done so for `forMs`: the fault is likely on our side. Answers
 * to direct commands do not count.
 */
export const allHeartbeatsLost = (state: ShardState, now: number, forMs: number): boolean => {
  let expected = 0;
  for (const machine of state.machines.values()) {
    if (machine.terminating || !machine.record.up) continue;
    if (now - Math.max(machine.lastHeartbeatAt, machine.trackedSince) < forMs) return false;
    expected += 1;
  }
  return expected > 0;
};
