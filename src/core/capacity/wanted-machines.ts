/** Computes how many machines of each type a shard needs, from its jobs and from the statistics of their classes. */
import { IGNORED_MACHINE_FRACTION, DEFAULT_RUN_S } from './constants.js';
import { MAX_TASKS_PER_MACHINE } from '../constants.js';
import { feasibleTypes } from '../jobs/admission.js';
import { tasksNeedingCapacity } from '../reachability/failure-tracker.js';
import type { ClassStats } from './workload-statistics.js';
import {
  dominantShare,
  fitCount,
  type JobSpec,
  type MachineType,
  type Objective,
} from '../model.js';
import type { Shard } from '../shard/shard.js';

/** The inputs from which a shard's demand for machines is computed. */
export interface DemandInput {
  readonly shard: Shard;
  /** number of shards in the cluster, which split the reserve of machines between them */
  readonly shardCount: number;
  readonly types: ReadonlyMap<string, MachineType>;
  readonly objectives: readonly Objective[];
  /** statistics by job class */
  readonly classStats: ReadonlyMap<string, ClassStats>;
  /** by job class, the tasks in the other shards, waiting or placed */
  readonly activeTasksElsewhere: ReadonlyMap<string, number>;
  /** jobs whose submitters were told to retry later: their machines are rented before the jobs are accepted */
  readonly expectedJobs: readonly JobSpec[];
  /** for urgent classes, capacity for the expected tasks plus this many standard deviations is kept */
  readonly reserveSigma: number;
  /** seconds in which the waiting work of other classes should be done */
  readonly drainS: number;
  /** monotonic ms */
  readonly now: number;
}

/** How many machines of one type a shard needs, as fractional numbers. */
export interface TypeNeed {
  /** ordinary machines for jobs that may not use spot machines */
  ordinary: number;
  /** spot machines for jobs that may use them, while the cloud has some */
  spot: number;
  /**
   * ordinary machines for jobs that may use spot machines, while the cloud has none; fewer than `spot`, since
   * ordinary machines cost more and are rented only as far as objectives require
   */
  instead: number;
}

/** Rounds a need up to whole machines, ignoring a small fraction. */
export const wholeMachines = (need: number): number =>
  Math.max(0, Math.ceil(need - IGNORED_MACHINE_FRACTION));

/**
 * Whether tasks of the class must start sooner than a machine boots, so that machines have to be kept ready for
 * them.
 */
export const isUrgent = (
  jobClass: string,
  objectives: readonly Objective[],
  bootS: number,
): boolean =>
  objectives.some((o) => o.kind === 'wait' && o.jobClass === jobClass && o.withinS < bootS);

/** Returns the machine type on which a task of the job costs least; null: it fits on none. */
export const cheapestType = (spec: JobSpec, types: Iterable<MachineType>): MachineType | null => {
  let cheapest: MachineType | null = null;
  let lowestPrice = Infinity;
  for (const type of feasibleTypes(spec, types)) {
    // However little a task demands, it takes one of a limited number of places in the machine's task list.
    const share = Math.max(dominantShare(spec.demand, type), 1 / MAX_TASKS_PER_MACHINE);
    const price = (spec.spot ? type.spotPrice : type.price) * share;
    if (price < lowestPrice) {
      cheapest = type;
      lowestPrice = price;
    }
  }
  return cheapest;
};

/** The tasks of one job class in this shard, and the machine type that is rented for them. */
interface ClassNeed {
  readonly spec: JobSpec;
  readonly type: MachineType;
  running: number;
  waiting: number;
}

const needsByClass = (input: DemandInput): Map<string, ClassNeed> => {
  const needs = new Map<string, ClassNeed>();
  const addTasks = (spec: JobSpec, running: number, waiting: number): void => {
    let need = needs.get(spec.jobClass);
    if (need === undefined) {
      const type = cheapestType(spec, input.types.values());
      if (type === null) return;
      need = { spec, type, running: 0, waiting: 0 };
      needs.set(spec.jobClass, need);
    }
    need.running += running;
    need.waiting += waiting;
  };
  for (const job of input.shard.jobs.values()) {
    if (!job.ended) addTasks(job.spec, job.placements.size, tasksNeedingCapacity(job, input.now));
  }
  for (const spec of input.expectedJobs) addTasks(spec, 0, spec.tasks);
  // A class without tasks here, known from other shards or from earlier, needs this shard's part of its reserve.
  for (const [jobClass, { sample }] of input.classStats) {
    if (needs.has(jobClass) || sample === null) continue;
    const type = cheapestType(sample, input.types.values());
    if (type !== null) needs.set(jobClass, { spec: sample, type, running: 0, waiting: 0 });
  }
  return needs;
};

/**
 * Returns in how many seconds the waiting work of a class should be done on ordinary machines that are rented
 * in place of spot machines: the time that the objectives of the class leave after a boot and a run, and
 * `drainS` at least.
 */
const costlyDrainS = (
  jobClass: string,
  need: ClassNeed,
  runS: number,
  input: DemandInput,
): number => {
  const limitsS = input.objectives
    .filter((o) => o.kind === 'finished' && o.jobClass === jobClass)
    .map((o) => o.withinS);
  if (limitsS.length === 0) return input.drainS;
  return Math.max(input.drainS, Math.min(...limitsS) - runS - need.type.bootS);
};

/** Tasks of a class to have capacity for. */
interface ClassCapacity {
  /** on machines of the cheapest kind */
  readonly tasks: number;
  /** on ordinary machines that are rented instead of spot ones */
  readonly costlyTasks: number;
  /** how many of them exist only as a reserve, which tasks of lower ranks may use until they are preempted */
  readonly reservedTasks: number;
}

/**
 * Returns the capacity by the square-root rule: the tasks expected at once plus some standard deviations. The reserve
 * beyond the tasks that exist is computed for the cluster and split evenly between the shards. If each shard aimed at
 * its part of the cluster's total instead, shards with more tasks than others would exceed theirs, and the cluster
 * would have too many machines.
 */
const squareRootCapacity = (
  { spec, running, waiting }: ClassNeed,
  clusterTasks: number,
  activeElsewhere: number,
  { reserveSigma, shardCount, shard }: DemandInput,
): ClassCapacity => {
  const active = running + waiting;
  // Capacity for replicas is kept for those that may arrive while a machine boots.
  const activeInCluster = spec.kind === 'service' ? 0 : active + activeElsewhere;
  const reserve = clusterTasks + reserveSigma * Math.sqrt(clusterTasks) - activeInCluster;
  const tasks = active + Math.max(0, reserve) / shardCount;
  const reservedTasks = shard.preemptionEnabled ? Math.max(0, tasks - active) : 0;
  return { tasks, costlyTasks: tasks, reservedTasks };
};

/** Returns the capacity with which the waiting work of a class is drained in time. */
const drainCapacity = (
  need: ClassNeed,
  tasksPerShard: number,
  runS: number,
  input: DemandInput,
): ClassCapacity => {
  const active = need.running + need.waiting;
  // On average, half of the work of running tasks is still to be done.
  const workS = (need.waiting + need.running / 2) * runS;
  const steadyTasks = Math.min(tasksPerShard, active);
  const tasksToDrainIn = (seconds: number) =>
    Math.min(active, Math.max(steadyTasks, workS / Math.max(seconds, runS)));
  return {
    tasks: tasksToDrainIn(input.drainS),
    costlyTasks: tasksToDrainIn(costlyDrainS(need.spec.jobClass, need, runS, input)),
    reservedTasks: 0,
  };
};

const classCapacity = (jobClass: string, need: ClassNeed, input: DemandInput): ClassCapacity => {
  const { spec, type } = need;
  const stats = input.classStats.get(jobClass);
  const runS = stats?.runS ?? (spec.estimateS > 0 ? spec.estimateS : DEFAULT_RUN_S);
  // Replicas never end, so their run time does not tell how many there are at once.
  const clusterTasks = (stats?.tasksPerS ?? 0) * (spec.kind === 'service' ? type.bootS : runS);
  if (spec.kind === 'array' && !isUrgent(jobClass, input.objectives, type.bootS)) {
    return drainCapacity(need, clusterTasks / input.shardCount, runS, input);
  }
  const activeElsewhere = input.activeTasksElsewhere.get(jobClass) ?? 0;
  return squareRootCapacity(need, clusterTasks, activeElsewhere, input);
};

/**
 * Returns the machines that a shard needs, by type. Urgent classes, gangs and services are sized by the square-root
 * rule, the other classes by the work that has to be drained.
 */
export const wantedMachines = (input: DemandInput): Map<string, TypeNeed> => {
  const needsByType = new Map<string, TypeNeed>();
  let reservedMachines = 0;
  for (const [jobClass, need] of needsByClass(input)) {
    const { tasks, costlyTasks, reservedTasks } = classCapacity(jobClass, need, input);
    const tasksPerMachine = Math.max(1, fitCount(need.spec.demand, need.type));
    const typeNeed = needsByType.get(need.type.name) ?? { ordinary: 0, spot: 0, instead: 0 };
    needsByType.set(need.type.name, typeNeed);
    reservedMachines += reservedTasks / tasksPerMachine;
    if (need.spec.spot) {
      typeNeed.spot += tasks / tasksPerMachine;
      typeNeed.instead += costlyTasks / tasksPerMachine;
    } else typeNeed.ordinary += tasks / tasksPerMachine;
  }
  for (const typeNeed of needsByType.values()) {
    if (typeNeed.ordinary === 0) continue;
    typeNeed.spot = Math.max(0, typeNeed.spot - reservedMachines);
    typeNeed.instead = Math.max(0, typeNeed.instead - reservedMachines);
  }
  return needsByType;
};
