/** The vocabulary of the scheduler: jobs, machines, heartbeats, commands and resources. Nothing here does input or output. */
import { ROUNDING_TOLERANCE, ZERO_DEMAND_TASKS_PER_MACHINE } from './constants.js';

/** Amounts of each resource: demand, capacity, or shares of either. */
export interface Resources {
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
}

/** The keys of `Resources`. */
export const RESOURCE_KINDS = ['cpus', 'gpus', 'memoryGb'] as const;
/** One resource. */
export type ResourceKind = (typeof RESOURCE_KINDS)[number];

/** Priority class of a job. */
export type Priority = 'production' | 'high' | 'normal' | 'low';
/** Higher ranks go first, and may preempt lower ones. */
export const PRIORITY_RANK: Readonly<Record<Priority, number>> = {
  production: 3,
  high: 2,
  normal: 1,
  low: 0,
};

/** A job as its user submitted it. Sizes in GB, times in seconds. */
export interface JobSpec {
  readonly uid: string;
  readonly jobClass: string;
  readonly team: string;
  /**
   * array: independent tasks, each runs to completion; gang: all at once or none; service: its tasks
   * (replicas) run until the job is cancelled, so whatever ends is started again
   */
  readonly kind: 'array' | 'gang' | 'service';
  readonly priority: Priority;
  readonly tasks: number;
  readonly demand: Resources;
  readonly image: string;
  readonly imageGb: number;
  /** machine types that it may use; null: any */
  readonly types: readonly string[] | null;
  readonly zone: string | null;
  /** all tasks in the same zone */
  readonly oneZone: boolean;
  /** at most half of the tasks in one zone */
  readonly spread: boolean;
  /** may use spot instances */
  readonly spot: boolean;
  readonly estimateS: number;
  /** interval between checkpoints; 0: a stopped task loses its progress */
  readonly checkpointS: number;
  /** time that a task needs to save its progress */
  readonly saveS: number;
  readonly deadlineS: number | null;
}

/** Tasks from..to-1 of a job and the shard they live in. `term` is that shard's term at arrival. */
export interface TaskRange {
  readonly from: number;
  readonly to: number;
  readonly shard: number;
  readonly term: number;
}

/** A job as the store keeps it. */
export interface JobRecord {
  readonly spec: JobSpec;
  /** time of day at which it was accepted, ms */
  readonly at: number;
  readonly ranges: readonly TaskRange[];
}

/** A machine as the store keeps it. */
export interface MachineRecord {
  readonly name: string;
  readonly shard: number;
  /** term of the owner that recorded it; no earlier owner can have started anything there */
  readonly term: number;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** written after its first heartbeat and before the first start: without it nothing ran there */
  readonly up: boolean;
}

/** A machine type that the cloud rents out, with its capacity and prices per hour. */
export interface MachineType extends Resources {
  readonly name: string;
  readonly cacheGb: number;
  readonly fetchGbPerS: number;
  readonly price: number;
  readonly spotPrice: number;
  readonly bootS: number;
  readonly zones: readonly string[];
}

/** A team's guarantee, and its limit (`...Max`); 0: none. */
export interface Team {
  readonly name: string;
  readonly cpus: number;
  readonly gpus: number;
  readonly cpusMax: number;
  readonly gpusMax: number;
}

/** A service-level objective: this share of a class's tasks within so many seconds. */
export interface Objective {
  readonly kind: string;
  readonly jobClass: string | null;
  readonly withinS: number;
  readonly share: number;
}

/** State of a task on its worker. */
export type TaskState = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';
/** Why a task is in state `exited`. */
export type ExitReason =
  'done' | 'stopped' | 'peers' | 'alone' | 'error' | 'no_room' | 'busy' | 'unknown';

/** One attempt of a task, as its worker lists it. */
export interface ReportedTask {
  readonly uid: string;
  readonly index: number;
  readonly attempt: number;
  readonly state: TaskState;
  readonly why: ExitReason | null;
  readonly saved: boolean;
}

/** A worker's task list, sent by itself or as the answer to commands. */
export interface Heartbeat {
  readonly machine: string;
  readonly address: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** counts the lives of the worker process: its tasks end with one */
  readonly agentEpoch: number;
  /** counts the lists within an agent epoch */
  readonly counter: number;
  /** the highest term that the worker has seen */
  readonly fencingToken: number;
  /** seconds until the cloud takes the machine back; null: no notice */
  readonly preemptionNoticeS: number | null;
  readonly tasks: readonly ReportedTask[];
}

/** What a worker is told to do. */
export type Command =
  | { readonly op: 'start'; readonly uid: string; readonly index: number; readonly attempt: number }
  | {
      readonly op: 'stop';
      readonly uid: string;
      readonly index: number;
      readonly attempt: number;
      readonly graceS: number;
    }
  | {
      readonly op: 'forget';
      readonly uid: string;
      readonly index: number;
      readonly attempt: number;
    };

/** Nothing of any resource. */
export const ZERO_RESOURCES: Resources = { cpus: 0, gpus: 0, memoryGb: 0 };

/** a + b * times, by resource. */
export const add = (a: Resources, b: Resources, times = 1): Resources => ({
  cpus: a.cpus + b.cpus * times,
  gpus: a.gpus + b.gpus * times,
  memoryGb: a.memoryGb + b.memoryGb * times,
});

/** Whether the demand fits into what is free. */
export const fits = (demand: Resources, free: Resources): boolean =>
  RESOURCE_KINDS.every((kind) => demand[kind] <= free[kind] + ROUNDING_TOLERANCE);

/** How many times `demand` fits into `room`. */
export const fitCount = (demand: Resources, room: Resources): number => {
  let times = Infinity;
  for (const kind of RESOURCE_KINDS) {
    if (demand[kind] <= 0) continue;
    times = Math.min(times, Math.floor((room[kind] + ROUNDING_TOLERANCE) / demand[kind]));
  }
  return Number.isFinite(times) ? times : ZERO_DEMAND_TASKS_PER_MACHINE;
};

/** C' of the paper: each resource's largest capacity on any machine. */
export const largestCapacity = (types: Iterable<Resources>): Resources => {
  let cpus = 0;
  let gpus = 0;
  let memoryGb = 0;
  for (const type of types) {
    cpus = Math.max(cpus, type.cpus);
    gpus = Math.max(gpus, type.gpus);
    memoryGb = Math.max(memoryGb, type.memoryGb);
  }
  return { cpus, gpus, memoryGb };
};

/** Demand as a share of C'. */
export const shareOf = (demand: Resources, largest: Resources): Resources => ({
  cpus: largest.cpus > 0 ? demand.cpus / largest.cpus : 0,
  gpus: largest.gpus > 0 ? demand.gpus / largest.gpus : 0,
  memoryGb: largest.memoryGb > 0 ? demand.memoryGb / largest.memoryGb : 0,
});

/** The largest share a demand takes of one machine. */
export const dominantShare = (demand: Resources, of: Resources): number => {
  const share = shareOf(demand, of);
  return Math.max(share.cpus, share.gpus, share.memoryGb);
};
