/**
 * Types of the state that the modules of one shard share: its jobs, its machines, and the placements of its tasks.
 * `ShardState` holds this state. Times are monotonic milliseconds unless a name or comment says otherwise.
 */
import type {
  Command,
  JobRecord,
  JobSpec,
  MachineRecord,
  MachineType,
  ResourceKind,
  Resources,
  TaskState,
  Team,
} from '../model.js';
import type { TaskQueue } from '../jobs/task-queue.js';
import type { ResourceSum } from '../resource-sum.js';
import type { AgentEpoch } from './agent-epoch.js';
import type { DirectStart, StartFencing } from './start-fencing.js';

/** Task numbers of one job, iterated in ascending order. */
export interface TaskNumbers extends Iterable<number> {
  readonly size: number;
  has(task: number): boolean;
  add(task: number): this;
  delete(task: number): boolean;
}

/** A stop that has been or will be sent to a task. */
export interface StopRequest {
  readonly requestedAt: number;
  /** time that the task has to save its progress */
  readonly graceS: number;
  /** whether a direct command has carried the stop; heartbeat answers repeat it in any case */
  sentDirectly: boolean;
}

/** What is known of a placed task; `placed` until its worker has listed it. */
export type PlacementState = 'placed' | Exclude<TaskState, 'exited'>;

/**
 * A task on a machine, from the decision to start it until it is proven gone. `observed`, `directStart` and
 * `startSentCounter` show how far the start has come. They do not exclude each other, since a start may be in flight
 * in a direct command and in a heartbeat answer at the same time. See `isUndispatched`.
 */
export interface Placement {
  readonly job: JobState;
  readonly index: number;
  readonly attempt: number;
  readonly machine: MachineState;
  /** zone of the machine */
  readonly zone: string;
  /** set only by `PlacementIndex` */
  state: PlacementState;
  readonly placedAt: number;
  /** counter of the heartbeat whose answer carried the start; null if no answer did, or that answer was lost */
  startSentCounter: number | null;
  /** whether the worker has listed this attempt */
  observed: boolean;
  /** the last start of it that was sent by direct command; null if none was */
  directStart: DirectStart | null;
  runningSince: number | null;
  stop: StopRequest | null;
}

/** The state of one job in this shard, which may have only some of the job's tasks. */
export interface JobState {
  readonly spec: JobSpec;
  readonly priorityRank: number;
  /** demand as a share of the largest capacity of each resource on any machine type (C' of the paper) */
  readonly demandShare: Resources;
  /** the resource with the largest value in `demandShare` */
  readonly dominantResource: ResourceKind;
  /** whether all tasks of the job have to belong to one shard; see `single-shard.ts` */
  readonly requiresSingleShard: boolean;
  /** equal for jobs with the same placement constraints, apart from the amounts of resources */
  readonly constraintKey: string;
  /** wall-clock time of acceptance, ms */
  readonly acceptedAt: number;
  /** the time of acceptance by the monotonic clock */
  readonly acceptedAtMonotonic: number;
  /** tasks of this shard that are neither completed nor placed */
  readonly waitingTasks: TaskQueue;
  /** all tasks of the job that belong to this shard */
  readonly ownTasks: TaskNumbers;
  /** tasks of this shard that an earlier owner of the shard may have started */
  readonly inheritedTasks: TaskNumbers;
  /** by task number; see `PlacementIndex` */
  readonly placements: Map<number, Placement>;
  /** number of placements by zone; a zone without any has no entry */
  readonly placementsByZone: Map<string, number>;
  /** number of placements whose task runs */
  runningTasks: number;
  /** completed tasks whose completion is saved in the store */
  readonly savedCompletions: TaskNumbers;
  /** completed tasks whose completion is not yet saved in the store */
  readonly unsavedCompletions: Set<number>;
  /** whether the job is completed or cancelled: none of its tasks starts, and running ones are stopped */
  ended: boolean;
  /** end of the backoff after failures; until then no task of the job is placed */
  backoffUntil: number;
  consecutiveFailures: number;
  lastFailureAt: number;
  /** by machine name, the time until which no task of the job is placed on that machine */
  readonly avoidedMachines: Map<string, number>;
  /** time by which its tasks should start, as computed when the queue was last sorted */
  startDeadline: number;
  /** whether the gang has lost a task: no task of the gang starts before all of its tasks are gone */
  gangBroken: boolean;
  /** shortest grace period, in seconds, with which all placed tasks of the gang were stopped; null: they were not */
  gangStopGraceS: number | null;
  /** time since which its tasks have waited without finding capacity; null if they do not wait */
  unschedulableSince: number | null;
  /**
   * whether other shards have tasks of the job although it requires a single shard. None of its tasks may start before
   * they are reunited, since this shard does not see what the others have started.
   */
  isDivided: boolean;
  /** whether the outcome of a migration of its tasks is not known yet */
  isMigrating: boolean;
  /** waiting tasks in that migration; they start nowhere until its outcome is known */
  migratingTasks: number[];
  /** time before which no further tasks of the job migrate */
  nextMigrationAt: number;
}

/** Identity of a machine's worker, and the newest messages from it, by which outdated ones are recognised. */
export interface AgentContact {
  /** where the worker takes direct commands; null before its first message */
  address: string | null;
  /** the newest agent epoch that a task list has shown; null before the worker's first message */
  epoch: AgentEpoch | null;
  /** agent epochs below this have ended by the expiry of their lease */
  minimumAgentEpoch: number;
  /** time at which the newest task list was received, whether a heartbeat or the answer to a direct command */
  lastStatusAt: number;
  /** time at which the newest heartbeat was received */
  lastHeartbeatAt: number;
}

/** Inputs from which `MachineHealth` derives the reachability of a machine. */
export interface MachineReachability {
  /**
   * time since which the worker has confirmed this shard's term, so that its task lists are complete; null if it has
   * not, or if its lease has expired since
   */
  confirmedSince: number | null;
  /** whether the worker has ever confirmed this shard's term, even if its lease has expired since */
  hasConfirmedTerm: boolean;
  /** time since which commands have had no effect although heartbeats arrive; null while commands arrive */
  commandsLostSince: number | null;
  /** commands without effect since the last one that is known to have arrived */
  consecutiveLostCommands: number;
}

/**
 * Whether the failures of tasks are attributed to the machine; set by `FailureTracker`.
 *
 * - `healthy`: no credible failure since the last task that completed there;
 * - `probation`: may be faulty, so it gets one task at a time until one completes;
 * - `quarantined`: considered faulty, so no task starts there and it is returned to the cloud.
 */
export type FaultStatus = 'healthy' | 'probation' | 'quarantined';

/**
 * Whether the shard wants to keep a machine.
 *
 * - `in-service`: yes;
 * - `draining`: it is to be emptied and returned to the cloud, since it is quarantined;
 * - `orphaned`: its record was deleted or now belongs to another shard, although this shard has not returned the
 *   machine to the cloud. This state is final.
 */
export type MachineLifecycle = 'in-service' | 'draining' | 'orphaned';

/** A machine kept free for a job. */
export interface Reservation {
  readonly uid: string;
  readonly until: number;
  /** whether the job is a gang that does not have enough machines for all of its tasks yet */
  readonly partial: boolean;
}

/** The tasks and images on a machine, and its free capacity. */
export interface MachineWorkload {
  /** placements on the machine by `taskKey`; see `PlacementIndex` */
  readonly tasks: Map<string, Placement>;
  /** number of `tasks` by job; a job without any has no entry */
  readonly tasksByJob: Map<JobState, number>;
  /** false if no start of `tasks` is to be sent by direct command */
  hasUnsentStarts: boolean;
  /** false if no stop of `tasks` is to be sent by direct command */
  hasUnsentStops: boolean;
  /** total demand of `tasks` */
  readonly usedCapacity: ResourceSum;
  /** capacity minus the demand of `tasks` */
  free: Resources;
  /** time of the last change of the placements that left some; an empty machine counts as idle since then */
  idleSince: number;
  reservation: Reservation | null;
  /** number of tasks in the newest task list, ended ones included */
  reportedTaskCount: number;
  /** number of ended tasks in the newest task list, which its worker lists until it is told to forget them */
  endedTaskCount: number;
  /** number of listed, running tasks that have no placement in this shard and are being stopped */
  unknownTaskCount: number;
  /** time since which `unknownTaskCount` has been above 0 */
  unknownTasksSince: number | null;
  /** time since which the worker has listed completed tasks that it may forget; null if it has none or was told to */
  forgettableSince: number | null;
  /** the machine's fencing token, and the direct starts of which the worker may still execute a copy */
  readonly fencing: StartFencing;
  /** images in the worker's cache with their sizes in GB, ordered from the least to the most recently used */
  readonly images: Map<string, number>;
}

/** One machine of the shard. */
export interface MachineState extends AgentContact, MachineReachability, MachineWorkload {
  record: MachineRecord;
  /** null if the settings do not know the type */
  readonly type: MachineType | null;
  /** time since which this shard has had the machine under this term */
  readonly trackedSince: number;
  faultStatus: FaultStatus;
  /** jobs that failed here since the last task that completed here, by uid */
  readonly failedJobs: Map<string, JobState>;
  lifecycle: MachineLifecycle;
  /**
   * whether the cloud was asked to end the machine; possible in any lifecycle state, since the record may be deleted
   * before or after
   */
  terminating: boolean;
  /**
   * whether the machine is chosen to move to another shard: no task starts there, and running ones go on. Set and
   * lifted by shard rebalancing.
   */
  cordoned: boolean;
  /** time at which the cloud will take the machine back, by its preemption notice; null without a notice */
  preemptionAt: number | null;
  /** time before which nothing is started there, after a start was refused for lack of capacity */
  backoffUntil: number;
}

/** Settings and look-ups that the service passes to the shard. */
export interface ShardSettings {
  readonly heartbeatIntervalMs: number;
  readonly leaseMs: number;
  /** time within which the tasks of a cancelled job must have ended */
  readonly cancelMs: number;
  readonly teams: ReadonlyMap<string, Team>;
  readonly types: ReadonlyMap<string, MachineType>;
  /** whether tasks may be stopped to make room for jobs of a higher rank */
  readonly preempt: boolean;
  /** returns the images that an earlier owner of the shard knew on a machine, with their sizes in GB */
  readonly imagesOf: (machine: string) => ReadonlyMap<string, number>;
  /** returns the times from acceptance, in seconds, by which tasks of a class should start, in ascending order */
  readonly startObjectives: (jobClass: string) => readonly number[];
}

/** Counts the scheduler's steps since the shard was created. Their number per round must not grow with the fleet. */
export interface WorkCounters {
  /** machines tried for a task or a pair of tasks */
  machinesVisited: number;
  /** waiting jobs compared with another waiting job */
  jobsCompared: number;
}

/** The records that have changed in the store since the last synchronisation. */
export interface ChangedRecords {
  /** uids of changed jobs */
  readonly jobs: ReadonlySet<string>;
  /** whether any machine record has changed */
  readonly machines: boolean;
}

/** The records of the store that concern this shard. */
export interface StoredRecords {
  readonly jobs: ReadonlyMap<string, { readonly value: JobRecord }>;
  /** returns the saved bitmap of completed tasks of the range that begins at `from`, if there is one */
  done(uid: string, from: number): string | undefined;
  readonly machines: ReadonlyMap<string, { readonly value: MachineRecord }>;
}

/** A change in the state of a task, for the log. */
export interface TaskEvent {
  readonly type: 'placed' | 'running' | 'ended' | 'released' | 'adopted' | 'stopping';
  readonly uid: string;
  readonly index: number;
  readonly machine: string;
  readonly attempt: number;
  /** seconds since the job was accepted */
  readonly afterS: number;
  readonly detail?: string;
}

/** A task that a worker has, although its attempt, one of this term, has ended for this shard. */
export interface UnexpectedAttempt {
  readonly uid: string;
  readonly index: number;
  readonly attempt: number;
  readonly machine: string;
  readonly agentEpoch: number;
  /** the machine's fencing token when its worker listed the attempt */
  readonly fencingToken: number;
}

/** The run time of a completed task, for the run time estimates of its class. */
export interface FinishedRun {
  readonly jobClass: string;
  readonly runS: number;
}

/** A machine all of whose tasks a job of `rank`, or of a higher rank, could preempt. */
export interface PreemptibleMachine {
  readonly machine: MachineState;
  readonly rank: number;
}

/** The number of waiting and placed tasks of one class. */
export interface ClassActivity {
  readonly jobClass: string;
  readonly tasks: number;
}

/** Commands to one machine that are sent at once rather than with the answer to its next heartbeat. */
export interface DirectCommandBatch {
  readonly machine: MachineState;
  readonly commands: Command[];
  /** the starts among the commands */
  readonly starts: readonly DirectStart[];
}
