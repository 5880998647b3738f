/**
 * The interface of one shard under one term to its owner, which passes in records and heartbeats and sends the
 * resulting commands. The caller passes the time in monotonic milliseconds. Nothing here does input or output.
 */
import { allocationRatios } from '../capacity/allocation-ratio.js';
import { tasksAwaitingBoots } from '../capacity/booting-capacity.js';
import type { Command, Heartbeat, JobRecord, ReportedTask, TaskRange } from '../model.js';
import { Quotas } from '../placement/quotas.js';
import { Scheduler } from '../placement/scheduler.js';
import { Preemption } from '../preemption/preemption.js';
import { knownAgentEpoch, type AgentEpoch } from './agent-epoch.js';
import { CommandPlanner } from './command-planner.js';
import { HeartbeatReconciler } from './heartbeat-reconciler.js';
import { expireLeases } from './lease-expiry.js';
import type { MachineEvent } from './machine-events.js';
import * as migration from './range-migration.js';
import * as queries from './shard-queries.js';
import { ShardState } from './shard-state.js';
import type { DirectStart, TokenRange } from './start-fencing.js';
import { StoreSynchronizer } from './store-synchronizer.js';
import type {
  ChangedRecords,
  ClassActivity,
  DirectCommandBatch,
  FinishedRun,
  JobState,
  MachineState,
  Placement,
  PreemptibleMachine,
  ShardSettings,
  StoredRecords,
  TaskEvent,
  UnexpectedAttempt,
} from './types.js';

export { isLeaving } from '../reachability/machine-health.js';
export { hostsServiceReplicas } from './placements.js';
export type { JobState, MachineState, ShardSettings, StoredRecords, Placement } from './types.js';

/**
 * The outcome of handling a heartbeat.
 *
 * - `answer`: the caller answers with these commands under this token, which renews the worker's lease;
 * - `superseded`: the worker has seen a higher term, so this shard has another owner;
 * - `old`: ignored, since a newer heartbeat has been handled;
 * - `unanswered`: handled, but not to be answered, so that the worker's lease is not renewed;
 * - `unknown`: the machine does not belong to this shard.
 */
export type HeartbeatResult =
  | { readonly kind: 'answer'; readonly fencingToken: number; readonly commands: Command[] }
  | { readonly kind: 'superseded' }
  | { readonly kind: 'old' }
  | { readonly kind: 'unanswered' }
  | { readonly kind: 'unknown' };

/** The scheduling of one shard's jobs on its machines, under one term. */
export class Shard {
  readonly term: number;
  readonly state: ShardState;
  readonly #synchronizer: StoreSynchronizer;
  readonly #reconciler: HeartbeatReconciler;
  readonly #commands: CommandPlanner;
  readonly #scheduler: Scheduler;

  constructor(
    readonly index: number,
    /** reserved for the shard by the change of ownership that made it this node's; the first one is its term */
    readonly tokens: TokenRange,
    settings: ShardSettings,
  ) {
    this.term = tokens.first;
    this.state = new ShardState(index, tokens, settings);
    const quotas = new Quotas(this.state);
    this.#synchronizer = new StoreSynchronizer(this.state);
    this.#reconciler = new HeartbeatReconciler(this.state);
    this.#commands = new CommandPlanner(this.state);
    this.#scheduler = new Scheduler(this.state, quotas, new Preemption(this.state, quotas));
  }

  // --- records of the store ----------------------------------------------------------------------

  /**
   * Applies the records of the store. If `changes` is given, only the records named there are looked at.
   * `timeOfDayMs` is the wall-clock time.
   */
  sync(
    records: StoredRecords,
    now: number,
    timeOfDayMs = 0,
    changes: ChangedRecords | null = null,
  ): void {
    this.#synchronizer.sync(records, now, timeOfDayMs, changes);
  }

  /** Whether a job record waits for a migration to end, so that `sync` is due even without changed records. */
  get hasDeferredJobs(): boolean {
    return this.#synchronizer.hasDeferredJobs;
  }

  /** Marks completed tasks as saved in the store. */
  markCompletionsSaved(uid: string, indexes: Iterable<number>): void {
    this.state.markCompletionsSaved(uid, indexes);
  }

  /** Removes a machine that is proven gone. Its tasks may start elsewhere. */
  removeMachine(name: string, now: number): void {
    this.state.removeMachine(name, now);
  }

  // --- heartbeats and commands -------------------------------------------------------------------

  /**
   * Applies a worker's heartbeat and returns the answer to it. If `mayStart` is false, because this node has not proven
   * that it still owns the shard, the answer renews the lease of running tasks but starts none. If `mayRenew` is false,
   * a worker that may have tasks gets no answer, so that its lease ends.
   */
  handleHeartbeat(
    heartbeat: Heartbeat,
    now: number,
    mayStart: boolean,
    mayRenew = true,
  ): HeartbeatResult {
    const machine = this.state.machines.get(heartbeat.machine);
    if (machine === undefined) return { kind: 'unknown' };
    if (heartbeat.fencingToken > this.tokens.last) return { kind: 'superseded' };
    if (isOutdated(machine, heartbeat)) return { kind: 'old' };
    machine.lastHeartbeatAt = now;
    const { epoch } = machine;
    if (epoch !== null && !isNewerStatus(epoch, heartbeat)) {
      epoch.lastHeartbeatCounter = heartbeat.counter;
      // The worker's answer to a direct command overtook this heartbeat. Without an answer the worker would lose its
      // lease, and an answer without commands does no harm.
      if (!mayRenew) return { kind: 'unanswered' };
      epoch.recordAnswer(now);
      return { kind: 'answer', fencingToken: machine.fencing.token, commands: [] };
    }
    this.#reconciler.reconcile(machine, heartbeat, now);
    if (!mayRenew && mayHaveLiveTasks(machine, heartbeat)) return { kind: 'unanswered' };
    machine.epoch?.recordAnswer(now);
    if (heartbeat.fencingToken < this.state.term) {
      // Commands of an earlier term may still reach this worker, so its task list is not complete yet. This answer
      // raises the worker's fencing token, and the list in its next heartbeat is complete.
      return { kind: 'answer', fencingToken: machine.fencing.token, commands: [] };
    }
    // Tasks placed on capacity that this heartbeat shows as free are started by the answer to it.
    if (mayStart) this.#scheduler.placeOn(machine, now);
    const commands = this.#commands.answerHeartbeat(machine, heartbeat, now, mayStart);
    return { kind: 'answer', fencingToken: machine.fencing.token, commands };
  }

  /** Applies a task list that came as the answer to direct commands. This renews no lease. */
  handleCommandStatus(heartbeat: Heartbeat, now: number): void {
    const machine = this.state.machines.get(heartbeat.machine);
    if (machine === undefined || heartbeat.fencingToken > this.tokens.last) return;
    if (heartbeat.agentEpoch < machine.minimumAgentEpoch) return;
    if (machine.epoch === null || isNewerStatus(machine.epoch, heartbeat)) {
      this.#reconciler.reconcile(machine, heartbeat, now, 'command');
    }
  }

  /**
   * Returns the starts and stops to send at once rather than with the next heartbeat answer, for at most `maxMachines`
   * machines. The caller passes the outcome of the starts to `settleDirectStarts` once it is known.
   */
  directCommands(now: number, maxMachines = Infinity, mayStart = true): DirectCommandBatch[] {
    return this.#commands.directCommands(now, maxMachines, mayStart);
  }

  /** Records that direct starts to a machine were executed, or that they never will be. */
  settleDirectStarts(
    machine: MachineState,
    starts: readonly DirectStart[],
    executed: boolean,
  ): void {
    this.#commands.settleDirectStarts(machine, starts, executed);
  }

  /** Whether a machine has used up the tokens of this term, so that the shard should be acquired under a new one. */
  get needsNewTerm(): boolean {
    return queries.hasExhaustedTokens(this.state);
  }

  /** Stops a task, which has `graceS` to save its progress. With a grace period the whole gang of a task is stopped. */
  requestStop(placement: Placement, graceS: number, now: number): void {
    this.state.requestStop(placement, graceS, now);
  }

  // --- placement ---------------------------------------------------------------------------------

  /** Places waiting tasks where they fit, most urgent jobs first. Returns the jobs that found no capacity. */
  placeAll(now: number): JobState[] {
    return this.#scheduler.placeAll(now);
  }

  /** Whether the last pass has placed so many tasks that it ended early, so that another one should follow soon. */
  get isPassIncomplete(): boolean {
    return this.#scheduler.isPassIncomplete;
  }

  /** Returns the jobs with tasks to place, most urgent first. */
  queue(now: number): JobState[] {
    return this.#scheduler.queue(now);
  }

  /** Applies expired leases and other timeouts; see `lease-expiry.ts`. */
  expireLeases(now: number): void {
    expireLeases(this.state, now);
  }

  // --- task migration to other shards ------------------------------------------------------------

  /** Returns the ranges, or ends of ranges, of the job that may migrate to another shard. */
  migratableRanges(job: JobState, record: JobRecord): readonly TaskRange[] {
    return migration.migratableRanges(this.state, job, record);
  }

  /** Returns the ranges with which a divided job has to return to its home shard. */
  rangesToReunite(job: JobState, record: JobRecord): readonly TaskRange[] {
    return migration.rangesToReunite(this.state, job, record);
  }

  /** Stops the replicas of a divided service outside its home shard. */
  stopReplicasAwayFromHome(job: JobState, record: JobRecord, now: number): void {
    migration.stopReplicasAwayFromHome(this.state, job, record, now);
  }

  /** Takes the tasks of the ranges out of the queue. Called before the transaction that migrates them is sent. */
  beginMigration(job: JobState, ranges: readonly TaskRange[]): void {
    migration.beginMigration(job, ranges);
  }

  /** Applies the outcome of the migration's transaction. */
  endMigration(job: JobState, ranges: readonly TaskRange[], succeeded: boolean, now: number): void {
    migration.endMigration(job, ranges, succeeded, now);
  }

  /** Returns how many waiting tasks of each job get capacity on machines that are expected to come up soon. */
  tasksAwaitingBoots(now: number): ReadonlyMap<JobState, number> {
    return tasksAwaitingBoots(this.#scheduler.unschedulableJobs, this.machines.values(), now);
  }

  // --- state -------------------------------------------------------------------------------------

  get jobs(): ReadonlyMap<string, JobState> {
    return this.state.jobs;
  }

  get machines(): ReadonlyMap<string, MachineState> {
    return this.state.machines;
  }

  /** Task events that have not been logged yet; the caller removes those that it has logged. */
  get events(): TaskEvent[] {
    return this.state.events;
  }

  /** Attempts that ended and run again; the caller removes those that it has logged. */
  get unexpectedAttempts(): UnexpectedAttempt[] {
    return this.state.unexpectedAttempts;
  }

  /** Events of machines that have not been logged yet; the caller removes those that it has logged. */
  get machineEvents(): MachineEvent[] {
    return this.state.machineEvents;
  }

  /** Run times of completed tasks; the caller removes those that it has added to its estimates. */
  get finishedRuns(): FinishedRun[] {
    return this.state.finishedRuns;
  }

  /** Whether every task that an earlier owner of the shard started and that still runs has a placement here. */
  get recovered(): boolean {
    return this.state.recovered;
  }

  get preemptionEnabled(): boolean {
    return this.state.settings.preempt;
  }

  // --- reachability ------------------------------------------------------------------------------

  /** See the table in `machine-health.ts`. */
  isFresh(machine: MachineState, now: number): boolean {
    return this.state.health.isFresh(machine, now);
  }

  /** See the table in `machine-health.ts`. */
  heartbeatsLost(machine: MachineState, now: number): boolean {
    return this.state.health.heartbeatsLost(machine, now);
  }

  /** See the table in `machine-health.ts`. */
  commandsLost(machine: MachineState, now: number): boolean {
    return this.state.health.commandsLost(machine, now);
  }

  /** Whether some machines should send heartbeats, but none of them has done so for `forMs`. */
  allHeartbeatsLost(now: number, forMs: number): boolean {
    return queries.allHeartbeatsLost(this.state, now, forMs);
  }

  /** Returns the machines that have confirmed this shard's term, but whose record is not marked as up yet. */
  newlyReadyMachines(): MachineState[] {
    return queries.newlyReadyMachines(this.state);
  }

  /** Returns the machines that should be asked for their task list by direct command. */
  machinesToProbe(): MachineState[] {
    return queries.machinesToProbe(this.state);
  }

  // --- load and capacity, for routing and for other shards ---------------------------------------

  /** Returns the allocated share of the shard by rank and kind of machine, indexed by `loadIndex`. */
  allocationRatios(now: number): number[] {
    return allocationRatios(this.state, now);
  }

  /** Returns the number of tasks of this priority rank or a higher one that wait for capacity. */
  waitingTasks(rank: number, now: number): number {
    return queries.waitingTasks(this.state, rank, now);
  }

  /** Returns the number of waiting and placed tasks of each class. */
  activeTasksByClass(now: number): ClassActivity[] {
    return queries.activeTasksByClass(this.state, now);
  }

  /** Returns the machines whose tasks could all be preempted, each with the lowest rank that could do so. */
  preemptibleMachines(now: number): PreemptibleMachine[] {
    return queries.preemptibleMachines(this.state, now);
  }

  /** Returns the machines that could take a task now. */
  machinesWithFreeCapacity(now: number): MachineState[] {
    return queries.machinesWithFreeCapacity(this.state, now);
  }
}

/**
 * Whether a heartbeat is not newer than the newest one. After a partition, delayed packets and copies of heartbeats
 * may arrive; they contain nothing new, and the worker no longer waits for an answer to them.
 */
const isOutdated = (machine: MachineState, { agentEpoch, counter }: Heartbeat): boolean => {
  const { epoch, minimumAgentEpoch } = machine;
  if (agentEpoch < Math.max(knownAgentEpoch(machine), minimumAgentEpoch)) return true;
  return epoch?.number === agentEpoch && counter <= epoch.lastHeartbeatCounter;
};

/** Whether a task list is newer than the newest one that was applied, which belongs to this epoch. */
const isNewerStatus = (epoch: AgentEpoch, { agentEpoch, counter }: Heartbeat): boolean =>
  agentEpoch > epoch.number || (agentEpoch === epoch.number && counter > epoch.lastStatusCounter);

/**
 * Whether tasks may run on the machine. If none can, the lease is renewed even when `mayRenew` is false, since nothing
 * there could run for too long.
 */
const mayHaveLiveTasks = (machine: MachineState, { tasks }: Heartbeat): boolean =>
  machine.tasks.size > 0 || machine.fencing.hasUnsettledStarts || tasks.some(isLive);

const isLive = ({ state }: ReportedTask): boolean => state !== 'exited';
