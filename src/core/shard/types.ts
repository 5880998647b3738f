import type {
  JobRecord,
  JobSpec,
  MachineRecord,
  MachineType,
  ResourceKind,
  Resources,
  Team,
} from '../model.js';

import type { TaskSet } from '../jobs/task-set.js';

/**
 * What one shard knows of its jobs, its machines and which task is where: the data that the modules of a
 * shard share. PartState keeps them up to date.
 */

/** A task on a machine, from the decision to start it until it is proven gone. */
export interface Placement {
  readonly job: JobState;
  readonly index: number;
  readonly attempt: number;
  readonly machine: MachineState;
  state: 'ordered' | 'fetching' | 'waiting' | 'running' | 'saving';
  readonly placedAt: number;
  /** counter of the report whose answer carried the start; null: not sent yet */
  startSentCounter: number | null;
  observed: boolean;
  /** a start was sent directly and may be carried out at any time until the session ends */
  directStartUnsettled: boolean;
  runningSince: number | null;
  stop: { at: number; graceS: number; sentDirect: boolean } | null;
}

export interface JobState {
  readonly spec: JobSpec;
  readonly priorityRank: number;
  /** demand as a share of C', and its dominant resource */
  readonly demandShare: Resources;
  readonly dominantResource: ResourceKind;
  /** what decides where it may go, besides its size */
  readonly constraintKey: string;
  readonly acceptedAt: number;
  /** accepted, by the steady clock, ms */
  readonly acceptedAtSteady: number;
  /** tasks of this shard that are neither saved nor placed, in order of number */
  waitingTasks: number[];
  readonly ownTasks: TaskSet;
  /** tasks that an earlier owner of the shard may have started */
  readonly inheritedTasks: TaskSet;
  readonly placements: Map<number, Placement>;
  readonly savedTasks: TaskSet;
  readonly unsavedTasks: Set<number>;
  /** done or cancelled: nothing starts, what runs is stopped */
  ended: boolean;
  pausedUntil: number;
  consecutiveFailures: number;
  /** steady ms of the last of them */
  lastFailureAt: number;
  readonly avoidedMachines: Map<string, number>;
  /** by when its tasks should start, steady ms, as of the last look at the queue */
  startDeadline: number;
  /** a gang that lost a task: nothing starts before all of it is gone */
  gangBroken: boolean;
  /** since when tasks wait without room, steady ms */
  unschedulableSince: number | null;
  /** tasks that are being passed to another shard: they start nowhere until that is settled */
  migratingTasks: number[];
  /** the earliest time of the next pass */
  nextMigrationAt: number;
}

export interface MachineState {
  record: MachineRecord;
  readonly type: MachineType | null;
  readonly trackedSince: number;
  address: string | null;
  agentEpoch: number;
  lastStatusCounter: number;
  /** counter of the newest report that came by itself, not as the answer to a command */
  lastHeartbeatCounter: number;
  /** since when orders show no effect: reports come, but what we say does not arrive */
  commandsLostSince: number | null;
  /** orders in a row that showed no effect */
  consecutiveLostCommands: number;
  /** sessions below this are over, by the clock */
  minimumAgentEpoch: number;
  lastStatusAt: number;
  /** the newest report that came by itself: only its answer renews the worker's lease */
  lastHeartbeatAt: number;
  leaseRenewedAt: number;
  /** a report under our term has come: its task list is complete */
  known: boolean;
  knownSince: number;
  everConfirmed: boolean;
  firstKnownAt: number | null;
  preemptionNoticeAt: number | null;
  readonly tasks: Map<string, Placement>;
  /** reported tasks that have no place in our state and are being stopped */
  unknownTaskCount: number;
  unknownTasksSince: number | null;
  /** since when the worker lists completed tasks that it could forget */
  forgettableSince: number | null;
  /** attempts whose direct start may still be under way: forgetting them could start them again */
  readonly unsettledDirectStarts: Set<string>;
  readonly images: Map<string, number>;
  /** jobs that failed here since the last task that completed here */
  readonly failedJobs: Map<string, JobState>;
  /** may be faulty: one task at a time until one completes */
  onProbation: boolean;
  /** taken for faulty: nothing starts there, and it goes back to the cloud */
  quarantined: boolean;
  /** to be returned: no starts, and what runs is stopped */
  draining: boolean;
  /** its record is gone or another shard's, although we have not returned it */
  orphaned: boolean;
  terminating: boolean;
  /** chosen to move to another shard: no starts, what runs goes on */
  cordoned: boolean;
  /** tasks that its newest report lists, ended ones included */
  reportedTaskCount: number;
  backoffUntil: number;
  /** kept for a job; partial: its gang has not enough machines in sight yet */
  reservation: { uid: string; until: number; partial: boolean } | null;
  idleSince: number;
  free: Resources;
}

export interface ShardSettings {
  readonly heartbeatIntervalMs: number;
  readonly leaseMs: number;
  readonly cancelMs: number;
  readonly teams: ReadonlyMap<string, Team>;
  readonly types: ReadonlyMap<string, MachineType>;
  readonly preempt: boolean;
  /** images that an earlier owner knew on a machine, with their sizes */
  readonly imagesOf: (machine: string) => ReadonlyMap<string, number>;
  /** seconds from acceptance by which tasks of a class should start, the earliest first */
  readonly startObjectives: (jobClass: string) => readonly number[];
}

/** How much was looked at for decisions since the shard was built: it must not grow with the fleet. */
export interface WorkCounters {
  /** machines that were tried for a task or a pair */
  machinesVisited: number;
  /** waiting jobs that were compared with another one */
  jobsCompared: number;
}

/** What has changed in the state service since the last look. */
export interface Changes {
  readonly jobs: ReadonlySet<string>;
  readonly machines: boolean;
}

/** What the state service says about this shard. */
export interface ShardView {
  readonly jobs: ReadonlyMap<string, { readonly value: JobRecord }>;
  /** completed tasks of a range of this shard, as saved */
  done(uid: string, from: number): string | undefined;
  readonly machines: ReadonlyMap<string, { readonly value: MachineRecord }>;
}

export interface TaskEvent {
  readonly type: 'placed' | 'running' | 'ended' | 'released' | 'adopted' | 'stopping';
  readonly uid: string;
  readonly index: number;
  readonly machine: string;
  readonly attempt: number;
  /** s since the job was seen here */
  readonly afterS: number;
  readonly detail?: string;
}

export interface FinishedRun {
  readonly jobClass: string;
  readonly runS: number;
}

export const attemptKey = (p: Placement) => `${p.job.spec.uid}/${p.index}@${p.attempt}`;

/** No order to start it has left: it can be taken back at once. */
export const isUndispatched = (p: Placement): boolean =>
  !p.observed && !p.directStartUnsettled && p.startSentCounter === null;

/** Replicas of services run there. */
export const hostsServiceReplicas = (m: MachineState): boolean => {
  for (const p of m.tasks.values()) if (p.job.spec.kind === 'service' && p.observed) return true;
  return false;
};

export const taskKey = (uid: string, index: number) => `${uid}/${index}`;
