/**
 * Allocation ratios of a shard, by which new jobs are routed to shards: the demand that is running or waiting,
 * divided by the capacity. A shard has one ratio for each priority rank, since a job waits only behind work that
 * it cannot preempt, and within each rank one for jobs that may use spot machines and one for jobs that may not.
 */
import { MAX_TASKS_PER_MACHINE } from '../constants.js';
import { PRIORITY_RANK, RESOURCE_KINDS, type Resources } from '../model.js';
import { tasksNeedingCapacity } from '../reachability/failure-tracker.js';
import { isLeaving } from '../reachability/machine-health.js';
import type { MachineState } from '../shard/types.js';
import type { ShardState } from '../shard/shard-state.js';

const RANK_COUNT = Object.keys(PRIORITY_RANK).length;

/** Returns the index, in the list of allocation ratios, of the ratio that applies to a job. */
export const loadIndex = (rank: number, spot: boolean): number => rank * 2 + Number(spot);

/** A running total of each resource, and of the tasks that use it or for which machines have space in their lists. */
interface Totals {
  cpus: number;
  gpus: number;
  memoryGb: number;
  tasks: number;
}

const TOTAL_KINDS = [...RESOURCE_KINDS, 'tasks'] as const;

const zeroTotals = (): Totals => ({ cpus: 0, gpus: 0, memoryGb: 0, tasks: 0 });
const zeroTotalsByRank = (): Totals[] => Array.from({ length: RANK_COUNT }, zeroTotals);

const addTo = (total: Totals, amount: Totals): void => {
  for (const kind of TOTAL_KINDS) total[kind] += amount[kind];
};

const addTasks = (total: Totals, demand: Resources, tasks: number): void => {
  for (const resource of RESOURCE_KINDS) total[resource] += demand[resource] * tasks;
  total.tasks += tasks;
};

const capacityOfMachine = ({ cpus, gpus, memoryGb }: Resources): Totals => ({
  cpus,
  gpus,
  memoryGb,
  tasks: MAX_TASKS_PER_MACHINE,
});

/** The capacity of all ordinary machines, or of all spot machines, and what is allocated there. */
interface MachinePool {
  readonly capacity: Totals;
  readonly allocatedByRank: Totals[];
}

/** Whether the machine counts as capacity: it stays, and is either still booting or heard from lately. */
const countsForRouting = (state: ShardState, machine: MachineState, now: number): boolean => {
  const leaves = isLeaving(machine) || machine.preemptionAt !== null;
  return !leaves && (!machine.hasConfirmedTerm || state.health.isFresh(machine, now));
};

/**
 * Returns the allocation ratios of the shard, as `loadIndex` numbers them. Waiting tasks count as allocated. Each
 * ratio is the largest over the resources and the number of tasks, first of the ordinary machines alone and then of all
 * machines. Visits every job of every machine once, but not its tasks.
 */
export const allocationRatios = (state: ShardState, now: number): number[] => {
  const ordinary: MachinePool = { capacity: zeroTotals(), allocatedByRank: zeroTotalsByRank() };
  const spot: MachinePool = { capacity: zeroTotals(), allocatedByRank: zeroTotalsByRank() };
  for (const machine of state.machines.values()) {
    if (machine.type === null || !countsForRouting(state, machine, now)) continue;
    const pool = machine.record.spot ? spot : ordinary;
    addTo(pool.capacity, capacityOfMachine(machine.type));
    for (const [job, tasks] of machine.tasksByJob) {
      addTasks(pool.allocatedByRank[job.priorityRank]!, job.spec.demand, tasks);
    }
  }
  const waitingByRank = zeroTotalsByRank();
  for (const job of state.jobs.values()) {
    addTasks(waitingByRank[job.priorityRank]!, job.spec.demand, tasksNeedingCapacity(job, now));
  }
  const ratios: number[] = [];
  for (let rank = 0; rank < RANK_COUNT; rank++) {
    const lowestRank = state.settings.preempt ? rank : 0;
    for (const pools of [[ordinary], [ordinary, spot]]) {
      const allocated = [waitingByRank, ...pools.map((pool) => pool.allocatedByRank)];
      ratios.push(largestRatio(allocated, pools, lowestRank, state.largestCapacity));
    }
  }
  return ratios;
};

/** Returns the largest ratio over the resources and the number of tasks of what ranks from `lowestRank` on have allocated. */
const largestRatio = (
  allocatedByRank: readonly (readonly Totals[])[],
  pools: readonly MachinePool[],
  lowestRank: number,
  largest: Resources,
): number => {
  const capacity = zeroTotals();
  for (const pool of pools) addTo(capacity, pool.capacity);
  const allocated = zeroTotals();
  for (const byRank of allocatedByRank) {
    for (const totals of byRank.slice(lowestRank)) addTo(allocated, totals);
  }
  // A shard without machines counts as having one, so that its waiting work still gives a finite ratio by which
  // such shards can be compared.
  const largestMachine = capacityOfMachine(largest);
  const ratioOf = (kind: keyof Totals) =>
    allocated[kind] === 0 ? 0 : allocated[kind] / Math.max(capacity[kind], largestMachine[kind]);
  return Math.max(...TOTAL_KINDS.map(ratioOf));
};
