/**
 * The data that the modules of one shard share: its jobs, its machines, and which task is where. `ShardState`
 * holds it. Times are monotonic milliseconds unless a name or comment says otherwise.
 */
import type {
  Command,
  JobRecord,
  JobSpec,
  MachineRecord,
  MachineType,
  ResourceKind,
  Resources,
  TaskRange,
  Team,
} from '../model.js';

/** Task numbers of one job, iterated in ascending order. */
export interface TaskNumbers extends Iterable<number> {
  readonly size: number;
  has(task: number): boolean;
  add(task: number): this;
  delete(task: number): boolean;
}

/** A stop that a task has been or is to be sent. */
export interface StopRequest {
  readonly requestedAt: number;
  /** seconds that the task has to save its progress */
  readonly graceS: number;
  /** a direct command has carried it; heartbeat answers repeat it in any case */
  sentDirectly: boolean;
}

/**
 * A task on a machine, from the decision to start it until it is proven gone. How far its start has come is
 * told by `observed`, `directStartUnsettled` and `startSentCounter`, which do not exclude each other: a start
 * may travel by direct command and by heartbeat answer at once. See `isUndispatched`.
 */
export interface Placement {
  readonly job: JobState;
  readonly index: number;
  readonly attempt: number;
  readonly machine: MachineState;
  state: 'placed' | 'fetching' | 'waiting' | 'running' | 'saving';
  readonly placedAt: number;
  /** counter of the heartbeat whose answer carried the start; null: in no answer, or that answer was lost */
  startSentCounter: number | null;
  /** the worker has listed this attempt */
  observed: boolean;
  /** a start was sent by direct command and may be carried out at any time until the agent epoch ends */
  directStartUnsettled: boolean;
  runningSince: number | null;
  stop: StopRequest | null;
}

/** The tasks of one job that belong to this shard. */
export interface JobState {
  readonly spec: JobSpec;
  readonly priorityRank: number;
  /** demand as a share of the largest capacity (C' of the paper), and its dominant resource */
  readonly demandShare: Resources;
  readonly dominantResource: ResourceKind;
  /** equal for jobs whose placement constraints, besides size, are equal */
  readonly constraintKey: string;
  /** time of day, ms */
  readonly acceptedAt: number;
  /** the same moment by the monotonic clock */
  readonly acceptedAtMonotonic: number;
  /** tasks of this shard that are neither completed nor placed, in the order in which they are placed */
  waitingTasks: number[];
  readonly ownTasks: TaskNumbers;
  /** tasks that an earlier owner of the shard may have started */
  readonly inheritedTasks: TaskNumbers;
  readonly placements: Map<number, Placement>;
  /** completed tasks, as far as the store shows them */
  readonly savedCompletions: TaskNumbers;
  /** completed tasks that the store does not show yet */
  readonly unsavedCompletions: Set<number>;
  /** completed or cancelled: nothing starts, what runs is stopped */
  ended: boolean;
  /** end of the backoff after failures */
  backoffUntil: number;
  consecutiveFailures: number;
  lastFailureAt: number;
  /** by machine name: until when the job is not placed there */
  readonly avoidedMachines: Map<string, number>;
  /** by when its tasks should start, as of the last look at the queue */
  startDeadline: number;
  /** a gang that lost a task: nothing of it starts before all of it is gone */
  gangBroken: boolean;
  /** since when its tasks wait without finding capacity */
  unschedulableSince: number | null;
  /** tasks of a migration under way: they start nowhere until it is settled */
  migratingTasks: number[];
  nextMigrationAt: number;
}

/** By which messages of its worker a machine is known, and which of them are out of date. */
export interface AgentContact {
  address: string | null;
  /** one life of the worker process: its tasks end with it */
  agentEpoch: number;
  /** agent epochs below this have ended, by the expiry of their lease */
  minimumAgentEpoch: number;
  /** counter and time of the newest task list, be it a heartbeat or the answer to a command */
  lastStatusCounter: number;
  lastStatusAt: number;
  /** the same of the newest heartbeat: only its answer renews the worker's lease */
  lastHeartbeatCounter: number;
  lastHeartbeatAt: number;
  leaseRenewedAt: number;
}

/** What the messages of a machine show; the states that follow from it are defined in `MachineHealth`. */
export interface MachineReachability {
  /** since when the worker has acknowledged our term, so that its task list is complete; null: it has not */
  confirmedSince: number | null;
  /** it had acknowledged our term at some time, even if its lease has expired since */
  everConfirmed: boolean;
  /** since when commands have shown no effect although heartbeats arrive; null: they arrive */
  commandsLostSince: number | null;
  consecutiveLostCommands: number;
}

/**
 * Whether failed tasks are the machine's fault, as `FailureTracker` judges it.
 *
 * - `healthy`: no credible failure since the last task that completed there;
 * - `probation`: may be faulty, so it gets one task at a time until one completes;
 * - `quarantined`: taken for faulty, nothing starts there and it is returned to the cloud.
 */
export type FaultStatus = 'healthy' | 'probation' | 'quarantined';

/**
 * Whether the shard wants to keep a machine.
 *
 * - `in-service`: yes;
 * - `draining`: it is to be emptied and returned, since it is quarantined;
 * - `orphaned`: its record is gone or another shard's although this shard has not returned it. Final.
 */
export type MachineLifecycle = 'in-service' | 'draining' | 'orphaned';

/** A machine kept free for a job. */
export interface Reservation {
  readonly uid: string;
  readonly until: number;
  /** the job is a gang that has not enough machines in sight yet */
  readonly partial: boolean;
}

/** What runs on a machine and what else its worker lists. */
export interface MachineWorkload {
  /** by `taskKey` */
  readonly tasks: Map<string, Placement>;
  /** capacity without the demand of `tasks` */
  free: Resources;
  idleSince: number;
  reservation: Reservation | null;
  /** tasks in the newest list, ended ones included */
  reportedTaskCount: number;
  /** listed tasks that have no placement here and are being stopped */
  unknownTaskCount: number;
  unknownTasksSince: number | null;
  /** since when the worker lists completed tasks that it could forget */
  forgettableSince: number | null;
  /** by `attemptKey`: attempts whose direct start may still arrive; a worker that forgot one could rerun it */
  readonly unsettledDirectStarts: Set<string>;
  /** images in the worker's cache with their size in GB, the one used last at the end */
  readonly images: Map<string, number>;
}

/** One machine of the shard. */
export interface MachineState extends AgentContact, MachineReachability, MachineWorkload {
  record: MachineRecord;
  readonly type: MachineType | null;
  /** since when this shard, under this term, has had the machine */
  readonly trackedSince: number;
  faultStatus: FaultStatus;
  /** jobs that failed here since the last task that completed here, by uid */
  readonly failedJobs: Map<string, JobState>;
  lifecycle: MachineLifecycle;
  /** the cloud was asked to end it. May hold in any lifecycle state: the record goes before or after. */
  terminating: boolean;
  /** chosen to move to another shard: no starts, what runs goes on. Set and lifted by shard rebalancing. */
  cordoned: boolean;
  preemptionAt: number | null;
  /** a start was refused for want of capacity; no further one until then */
  backoffUntil: number;
}

/** Settings and look-ups that the shard takes from the service. */
export interface ShardSettings {
  readonly heartbeatIntervalMs: number;
  readonly leaseMs: number;
  readonly cancelMs: number;
  readonly teams: ReadonlyMap<string, Team>;
  readonly types: ReadonlyMap<string, MachineType>;
  readonly preempt: boolean;
  /** images that an earlier owner knew on a machine, with their sizes in GB */
  readonly imagesOf: (machine: string) => ReadonlyMap<string, number>;
  /** seconds from acceptance by which tasks of a class should start, the earliest first */
  readonly startObjectives: (jobClass: string) => readonly number[];
}

/** How much the scheduler has looked at since the shard was built: it must not grow with the fleet. */
export interface WorkCounters {
  /** machines tried for a task or a pair */
  machinesVisited: number;
  /** waiting jobs compared with another one */
  jobsCompared: number;
}

/** Records that have changed in the store since the last synchronisation. */
export interface ChangedRecords {
  readonly jobs: ReadonlySet<string>;
  readonly machines: boolean;
}

/** The records of the store that concern this shard. */
export interface StoredRecords {
  readonly jobs: ReadonlyMap<string, { readonly value: JobRecord }>;
  /** bitmap of the completed tasks of the range that begins at `from`, as saved */
  done(uid: string, from: number): string | undefined;
  readonly machines: ReadonlyMap<string, { readonly value: MachineRecord }>;
}

/** Something that happened to a task, for the log. */
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

/** How long a completed task ran, for the estimates of its class. */
export interface FinishedRun {
  readonly jobClass: string;
  readonly runS: number;
}

/** A machine on which a job of `rank` or a higher one could preempt everything. */
export interface PreemptibleMachine {
  readonly machine: MachineState;
  readonly rank: number;
}

/** Tasks of one class, waiting or placed. */
export interface ClassActivity {
  readonly jobClass: string;
  readonly tasks: number;
}

/** Tasks at the end of `range`, from number `from` on, that may pass to another shard. */
export interface MigratableTasks {
  readonly range: TaskRange;
  readonly from: number;
}

/** Commands to one machine that should not wait for its next heartbeat. */
export interface DirectCommandBatch {
  readonly machine: MachineState;
  readonly commands: Command[];
  /** the placements whose starts are among the commands */
  readonly starts: Placement[];
}
