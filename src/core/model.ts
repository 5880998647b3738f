import { ROUNDING, TASKS_WITHOUT_DEMAND } from './constants.js';
/** The vocabulary of the scheduler. Nothing here does input or output. */

export interface Resources {
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
}

export const RESOURCE_KINDS = ['cpus', 'gpus', 'memoryGb'] as const;
export type ResourceKind = (typeof RESOURCE_KINDS)[number];

export type Priority = 'production' | 'high' | 'normal' | 'low';
export const PRIORITY_RANK: Readonly<Record<Priority, number>> = {
  production: 3,
  high: 2,
  normal: 1,
  low: 0,
};

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
  readonly types: readonly string[] | null;
  readonly zone: string | null;
  readonly oneZone: boolean;
  readonly spread: boolean;
  readonly spot: boolean;
  readonly estimateS: number;
  readonly checkpointS: number;
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

export interface JobRecord {
  readonly spec: JobSpec;
  /** time of day of acceptance, ms */
  readonly at: number;
  readonly ranges: readonly TaskRange[];
}

export interface MachineRecord {
  readonly name: string;
  readonly shard: number;
  /** term of the owner that recorded it; no earlier owner can have started anything there */
  readonly term: number;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** written after its first report and before the first start: without it nothing ran there */
  readonly up: boolean;
}

export interface MachineType extends Resources {
  readonly name: string;
  readonly cacheGb: number;
  readonly fetchGbPerS: number;
  readonly price: number;
  readonly spotPrice: number;
  readonly bootS: number;
  readonly zones: readonly string[];
}

export interface Team {
  readonly name: string;
  readonly cpus: number;
  readonly gpus: number;
  readonly cpusMax: number;
  readonly gpusMax: number;
}

export interface Objective {
  readonly kind: string;
  readonly jobClass: string | null;
  readonly withinS: number;
  readonly share: number;
}

export type TaskState = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';
export type ExitReason =
  'done' | 'stopped' | 'peers' | 'alone' | 'error' | 'no_room' | 'busy' | 'unknown';

export interface ReportedTask {
  readonly uid: string;
  readonly index: number;
  readonly attempt: number;
  readonly state: TaskState;
  readonly why: ExitReason | null;
  readonly saved: boolean;
}

export interface Heartbeat {
  readonly machine: string;
  readonly address: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly agentEpoch: number;
  readonly counter: number;
  readonly fencingToken: number;
  readonly preemptionNoticeS: number | null;
  readonly tasks: readonly ReportedTask[];
}

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

export const ZERO: Resources = { cpus: 0, gpus: 0, memoryGb: 0 };

export const add = (a: Resources, b: Resources, times = 1): Resources => ({
  cpus: a.cpus + b.cpus * times,
  gpus: a.gpus + b.gpus * times,
  memoryGb: a.memoryGb + b.memoryGb * times,
});

export const fits = (demand: Resources, free: Resources): boolean =>
  RESOURCE_KINDS.every((k) => demand[k] <= free[k] + ROUNDING);

/** How many times `demand` fits into `room`. */
export const timesIn = (demand: Resources, room: Resources): number => {
  let times = Infinity;
  for (const k of RESOURCE_KINDS) {
    if (demand[k] > 0) times = Math.min(times, Math.floor((room[k] + ROUNDING) / demand[k]));
  }
  return Number.isFinite(times) ? times : TASKS_WITHOUT_DEMAND;
};

/** C' of the paper: each resource's largest capacity on any machine. */
export const largestCapacity = (types: Iterable<Resources>): Resources => {
  let cpus = 0;
  let gpus = 0;
  let memoryGb = 0;
  for (const t of types) {
    cpus = Math.max(cpus, t.cpus);
    gpus = Math.max(gpus, t.gpus);
    memoryGb = Math.max(memoryGb, t.memoryGb);
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
  const s = shareOf(demand, of);
  return Math.max(s.cpus, s.gpus, s.memoryGb);
};
