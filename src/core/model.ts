/**
 * Data model of the scheduler: resources, jobs, machines, heartbeats and commands, with the arithmetic of resources.
 * This module performs no input or output.
 */
import { MAX_TASKS_PER_MACHINE, ROUNDING_TOLERANCE } from './constants.js';

/** An amount of each resource: a demand, a capacity, or a share of a capacity. */
export interface Resources {
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
}

/** The keys of `Resources`, in the order in which ties between resources are decided. */
export const RESOURCE_KINDS = ['cpus', 'gpus', 'memoryGb'] as const;
/** The name of one resource. */
export type ResourceKind = (typeof RESOURCE_KINDS)[number];

/** The priority class of a job. */
export type Priority = 'production' | 'high' | 'normal' | 'low';
/** The rank of each priority class: jobs of a higher rank are placed first and may preempt those of a lower rank. */
export const PRIORITY_RANK: Readonly<Record<Priority, number>> = {
  production: 3,
  high: 2,
  normal: 1,
  low: 0,
};

/** A job as its user submitted it. Sizes are in GB, times in seconds. */
export interface JobSpec {
  readonly uid: string;
  readonly jobClass: string;
  readonly team: string;
  /**
   * - `array`: independent tasks, each of which runs to completion;
   * - `gang`: tasks that run all at once or not at all;
   * - `service`: replicas that run until the job is cancelled, so a replica that ends is started again.
   */
  readonly kind: 'array' | 'gang' | 'service';
  readonly priority: Priority;
  /** number of tasks */
  readonly tasks: number;
  /** demand of each task */
  readonly demand: Resources;
  readonly image: string;
  readonly imageGb: number;
  /** machine types on which the job may run; null: any */
  readonly types: readonly string[] | null;
  /** the only zone in which the job may run; null: any */
  readonly zone: string | null;
  /** all tasks have to run in the same zone */
  readonly oneZone: boolean;
  /** at most half of the tasks, rounded up, may run in one zone */
  readonly spread: boolean;
  /** the job may run on spot instances */
  readonly spot: boolean;
  /** run time of a task as the user estimates it */
  readonly estimateS: number;
  /** interval between checkpoints; 0: the task takes none, and loses its progress when it is stopped */
  readonly checkpointS: number;
  /** time that a task needs to save its progress */
  readonly saveS: number;
  /** time from acceptance by which the job should have ended; null: no deadline */
  readonly deadlineS: number | null;
}

/**
 * The tasks `from` to `to - 1` of a job and the shard that they belong to. `term` is the term of that shard when the
 * range was assigned to it.
 */
export interface TaskRange {
  readonly from: number;
  readonly to: number;
  readonly shard: number;
  readonly term: number;
}

/** A job as it is stored. */
export interface JobRecord {
  readonly spec: JobSpec;
  /** time of day at which the job was accepted, ms */
  readonly at: number;
  readonly ranges: readonly TaskRange[];
}

/** A machine as it is stored. */
export interface MachineRecord {
  readonly name: string;
  readonly shard: number;
  /** term of the shard owner that recorded the machine; no earlier owner can have started a task on it */
  readonly term: number;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** set after the first heartbeat and before the first start: while it is false no task has run on the machine */
  readonly up: boolean;
}

/** A machine type that the cloud offers, with its capacity and its prices per hour. */
export interface MachineType extends Resources {
  readonly name: string;
  /** size of the image cache */
  readonly cacheGb: number;
  /** rate at which images are fetched */
  readonly fetchGbPerS: number;
  readonly price: number;
  readonly spotPrice: number;
  readonly bootS: number;
  readonly zones: readonly string[];
}

/** The quota of a team: its guarantee (`cpus`, `gpus`) and its limit (`cpusMax`, `gpusMax`). 0 means none. */
export interface Team {
  readonly name: string;
  readonly cpus: number;
  readonly gpus: number;
  readonly cpusMax: number;
  readonly gpusMax: number;
}

/** A service-level objective: the share of the tasks of a job class that should take at most `withinS` seconds. */
export interface Objective {
  readonly kind: string;
  readonly jobClass: string | null;
  readonly withinS: number;
  readonly share: number;
}

/** The state of a task on its worker. */
export type TaskState = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';
/** The reason why a task is in state `exited`. */
export type ExitReason =
  'done' | 'stopped' | 'peers' | 'alone' | 'error' | 'no_room' | 'busy' | 'unknown';

/** One attempt of a task, as its worker reports it. */
export interface ReportedTask {
  readonly uid: string;
  readonly index: number;
  readonly attempt: number;
  readonly state: TaskState;
  /** reason of the exit; null unless the state is `exited` */
  readonly why: ExitReason | null;
  /** the task has saved its progress */
  readonly saved: boolean;
}

/** The task list of a worker, sent as a heartbeat or in response to direct commands. */
export interface Heartbeat {
  readonly machine: string;
  readonly address: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** number of the worker process on this machine: a restart increments it, and ends all tasks of the old process */
  readonly agentEpoch: number;
  /** number of the task list within its agent epoch */
  readonly counter: number;
  /** highest term that the worker has seen */
  readonly fencingToken: number;
  /** seconds until the cloud reclaims the machine; null: no notice was given */
  readonly preemptionNoticeS: number | null;
  readonly tasks: readonly ReportedTask[];
}

/** A command to a worker about one attempt of a task. `graceS`: seconds that the task has to save its progress. */
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

/** Zero of every resource. */
export const ZERO_RESOURCES: Resources = { cpus: 0, gpus: 0, memoryGb: 0 };

/** Returns `a + b * times` for every resource. */
export const add = (a: Resources, b: Resources, times = 1): Resources => ({
  cpus: a.cpus + b.cpus * times,
  gpus: a.gpus + b.gpus * times,
  memoryGb: a.memoryGb + b.memoryGb * times,
});

/** Returns whether the demand fits into the free capacity. */
export const fits = (demand: Resources, free: Resources): boolean =>
  RESOURCE_KINDS.every((kind) => demand[kind] <= free[kind] + ROUNDING_TOLERANCE);

/** Returns how many tasks with this demand fit into the free capacity of one machine. */
export const fitCount = (demand: Resources, free: Resources): number => {
  let count = MAX_TASKS_PER_MACHINE;
  for (const kind of RESOURCE_KINDS) {
    if (demand[kind] <= 0) continue;
    count = Math.min(count, Math.floor((free[kind] + ROUNDING_TOLERANCE) / demand[kind]));
  }
  return count;
};

/** Returns the largest capacity that any machine type has of each resource: C' in the paper. */
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

/** Returns the demand as a share of the largest capacity, resource by resource; 0 where no machine type has any. */
export const shareOf = (demand: Resources, largest: Resources): Resources => ({
  cpus: largest.cpus > 0 ? demand.cpus / largest.cpus : 0,
  gpus: largest.gpus > 0 ? demand.gpus / largest.gpus : 0,
  memoryGb: largest.memoryGb > 0 ? demand.memoryGb / largest.memoryGb : 0,
});

/** Returns the largest of the shares that a demand takes of each resource of one machine. */
export const dominantShare = (demand: Resources, capacity: Resources): number => {
  const share = shareOf(demand, capacity);
  return Math.max(share.cpus, share.gpus, share.memoryGb);
};
