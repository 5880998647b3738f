/**
 * Capacity of a shard's machines that are expected to come up soon, and the waiting jobs that will get it. A job that
 * gets some starts sooner where it is than in a shard that has yet to rent machines for it.
 */
import { fitCount, type MachineType } from '../model.js';
import { isLeaving } from '../reachability/machine-health.js';
import { tasksNeedingCapacity } from '../reachability/failure-tracker.js';
import { tasksAllowedInZone, tasksThatFitZones } from '../placement/zones.js';
import type { JobState, MachineState } from '../shard/types.js';
import { USUAL_BOOT_FACTOR } from './constants.js';
import { mayUse } from './reachable-capacity.js';

/** Interchangeable machines that boot. */
interface BootingPool {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  /** number of machines whose capacity is not assigned; a part of a machine counts as a fraction */
  machines: number;
}

/** Whether the machine boots, is expected to come up soon, and may then take tasks. */
const isExpected = (machine: MachineState, now: number): boolean => {
  const { type, record, trackedSince } = machine;
  if (type === null || record.up || machine.cordoned || machine.preemptionAt !== null) return false;
  return !isLeaving(machine) && now - trackedSince <= type.bootS * 1000 * USUAL_BOOT_FACTOR;
};

const bootingPools = (machines: Iterable<MachineState>, now: number): BootingPool[] => {
  const pools = new Map<string, BootingPool>();
  for (const machine of machines) {
    const { type, record } = machine;
    if (type === null || !isExpected(machine, now)) continue;
    const { zone, spot } = record;
    const key = `${type.name} ${zone} ${spot}`;
    const pool = pools.get(key) ?? { type, zone, spot, machines: 0 };
    pool.machines += 1;
    pools.set(key, pool);
  }
  return [...pools.values()];
};

/** Added before a number of tasks is rounded down, since fractions of machines are inexact in their last digits. */
const FRACTION_TOLERANCE = 1e-9;

const tasksIn = ({ type, machines }: BootingPool, { spec }: JobState): number =>
  Math.floor(machines * fitCount(spec.demand, type) + FRACTION_TOLERANCE);

/** Returns the number of tasks of the job that fit into each zone. */
const tasksByZone = (pools: readonly BootingPool[], job: JobState): Map<string, number> => {
  const byZone = new Map<string, number>();
  for (const pool of pools) {
    byZone.set(pool.zone, (byZone.get(pool.zone) ?? 0) + tasksIn(pool, job));
  }
  return byZone;
};

/** Assigns capacity to waiting tasks of the job, within its zone constraints. Returns their number. */
const assign = (allPools: readonly BootingPool[], job: JobState, now: number): number => {
  const { spec } = job;
  const allowedInZone = (zone: string) => tasksAllowedInZone(job, zone);
  const pools = allPools.filter(({ type, spot }) => mayUse(job, type.name, spot));
  const byZone = tasksByZone(pools, job);
  const needed = tasksNeedingCapacity(job, now);
  const assigned = Math.min(needed, tasksThatFitZones(spec, byZone, allowedInZone));
  if (assigned === 0 || (spec.kind === 'gang' && assigned < needed)) return 0;
  const zones = [...byZone]
    .map(([zone, tasks]) => ({ zone, tasks: Math.min(tasks, allowedInZone(zone)) }))
    .sort((a, b) => b.tasks - a.tasks || (a.zone < b.zone ? -1 : 1));
  let left = assigned;
  for (const { zone, tasks } of zones) {
    const inZone = Math.min(left, tasks);
    takeFrom(
      pools.filter((pool) => pool.zone === zone),
      job,
      inZone,
    );
    left -= inZone;
  }
  return assigned;
};

const takeFrom = (pools: readonly BootingPool[], job: JobState, tasks: number): void => {
  let left = tasks;
  for (const pool of pools) {
    const taken = Math.min(left, tasksIn(pool, job));
    if (taken > 0) pool.machines -= taken / fitCount(job.spec.demand, pool.type);
    left -= taken;
  }
};

/**
 * Returns how many waiting tasks of each job get capacity on machines that are expected to come up soon. The jobs are
 * given most urgent first; those that get none are left out. A gang gets capacity for all of its tasks or for none.
 */
export const tasksAwaitingBoots = (
  jobs: readonly JobState[],
  machines: Iterable<MachineState>,
  now: number,
): ReadonlyMap<JobState, number> => {
  const pools = bootingPools(machines, now);
  const awaiting = new Map<JobState, number>();
  for (const job of jobs) {
    if (pools.every((pool) => pool.machines < FRACTION_TOLERANCE)) break;
    const tasks = assign(pools, job, now);
    if (tasks > 0) awaiting.set(job, tasks);
  }
  return awaiting;
};
