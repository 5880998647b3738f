/**
 * Capacity that a waiting job could get on the machines of a shard, now or once other work ends, with machines
 * included whose rental is pending. A job for which none is in reach needs a new machine, however little work it
 * has.
 */
import { MAX_TASKS_PER_MACHINE } from '../constants.js';
import type { JobState, MachineState } from '../shard/types.js';
import { add, fitCount, ZERO_RESOURCES, type MachineType, type Resources } from '../model.js';
import { tasksAllowedInZone, tasksThatFitZones } from '../placement/zones.js';

/** A rental that has not been answered yet. */
export interface PendingRental {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly count: number;
}

/** Interchangeable machines, either present or with their rental pending. */
interface MachinePool {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  count: number;
}

/** Whether the type and the market of a machine suit the job. */
export const mayUse = ({ spec }: JobState, type: string, spot: boolean): boolean =>
  (spec.spot || !spot) && (spec.types === null || spec.types.includes(type));

/**
 * Returns how many replicas of the job a machine could take. Other replicas never end, and tasks of the job's rank or a
 * higher one are not preempted for it, so both keep their capacity; tasks of lower ranks can be preempted.
 */
const replicasThatFit = (
  machine: MachineState,
  job: JobState,
  preemptionEnabled: boolean,
): number => {
  let free: Resources = machine.type ?? ZERO_RESOURCES;
  let listable = MAX_TASKS_PER_MACHINE;
  for (const [present, tasks] of machine.tasksByJob) {
    const stays =
      present.spec.kind === 'service' ||
      !preemptionEnabled ||
      present.priorityRank >= job.priorityRank;
    if (!stays) continue;
    free = add(free, present.spec.demand, -tasks);
    listable -= tasks;
  }
  return Math.max(0, Math.min(fitCount(job.spec.demand, free), listable));
};

/** The machines that a capacity plan keeps or has asked for, grouped for queries about many waiting jobs. */
export class ReachableCapacity {
  readonly #pendingPools: MachinePool[] = [];
  readonly #allPools: MachinePool[] = [];

  constructor(
    private readonly retained: readonly MachineState[],
    pendingRentals: readonly PendingRental[],
    types: ReadonlyMap<string, MachineType>,
    private readonly preemptionEnabled: boolean,
    private readonly now: number,
  ) {
    for (const { type: name, zone, spot, count } of pendingRentals) {
      const type = types.get(name);
      if (type !== undefined) this.#pendingPools.push({ type, zone, spot, count });
    }
    const pools = new Map<string, MachinePool>();
    for (const { type, record } of retained) {
      if (type === null) continue;
      const { zone, spot } = record;
      const key = `${type.name} ${zone} ${spot}`;
      const pool = pools.get(key) ?? { type, zone, spot, count: 0 };
      pool.count += 1;
      pools.set(key, pool);
    }
    this.#allPools = [...pools.values(), ...this.#pendingPools];
  }

  /** Returns how many tasks of the job have or will have capacity, within its zone constraints. */
  tasksThatFit(job: JobState): number {
    const { spec } = job;
    const tasksByZone = new Map<string, number>();
    const addTasks = (zone: string, tasks: number) =>
      tasksByZone.set(zone, (tasksByZone.get(zone) ?? 0) + tasks);
    const isService = spec.kind === 'service';
    // Tasks of arrays and gangs end some time, so a machine that runs them counts with all of its capacity. For a
    // service, `#addByMachine` counts what the replicas on each machine leave.
    for (const { type, zone, spot, count } of isService ? this.#pendingPools : this.#allPools) {
      if (mayUse(job, type.name, spot)) addTasks(zone, fitCount(spec.demand, type) * count);
    }
    if (isService || job.avoidedMachines.size > 0) this.#addByMachine(job, addTasks);
    return tasksThatFitZones(spec, tasksByZone, (zone) => tasksAllowedInZone(job, zone));
  }

  /** Adds the replicas that fit each machine, or for other jobs subtracts the machines that the job avoids. */
  #addByMachine(job: JobState, addTasks: (zone: string, tasks: number) => void): void {
    const { spec } = job;
    const isService = spec.kind === 'service';
    for (const machine of this.retained) {
      const { type, zone, spot, name } = { ...machine.record, type: machine.type };
      if (type === null || !mayUse(job, type.name, spot)) continue;
      const avoided = (job.avoidedMachines.get(name) ?? -Infinity) > this.now;
      if (!isService && avoided) addTasks(zone, -fitCount(spec.demand, type));
      if (!isService || avoided) continue;
      addTasks(zone, replicasThatFit(machine, job, this.preemptionEnabled));
    }
  }
}

/** Returns the zone in which machines should be rented for a job that lacks capacity; null: any zone will do. */
export const zoneForNewMachines = (
  job: JobState,
  type: MachineType,
  retained: readonly MachineState[],
): string | null => {
  const { spec } = job;
  if (spec.zone !== null) return spec.zone;
  if (!spec.oneZone && !spec.spread) return null;
  const machinesIn = (zone: string) =>
    retained.filter((machine) => machine.record.zone === zone).length;
  const zones = type.zones.filter((zone) => tasksAllowedInZone(job, zone) > 0);
  // A job bound to one zone gets machines where most are already, one that must spread where fewest are.
  const sign = spec.oneZone ? -1 : 1;
  zones.sort((a, b) => sign * (machinesIn(a) - machinesIn(b)) || (a < b ? -1 : 1));
  return zones[0] ?? null;
};
