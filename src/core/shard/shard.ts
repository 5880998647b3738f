/**
 * One shard under one term, as its owner uses it: records and heartbeats come in, commands go out. Time is passed
 * in, in monotonic milliseconds; nothing here does input or output.
 */
import { allocationRatios } from '../capacity/allocation-ratio.js';
import type { Command, Heartbeat, JobRecord, ReportedTask } from '../model.js';
import { Quotas } from '../placement/quotas.js';
import { Scheduler } from '../placement/scheduler.js';
import { Preemption } from '../preemption/preemption.js';
import { CommandPlanner } from './command-planner.js';
import { HeartbeatReconciler } from './heartbeat-reconciler.js';
import { expireLeases } from './lease-expiry.js';
import { beginMigration, endMigration, migratableTasks } from './range-migration.js';
import * as queries from './shard-queries.js';
import { ShardState } from './shard-state.js';
import { StoreSynchronizer } from './store-synchronizer.js';
import type {
  ChangedRecords,
  ClassActivity,
  DirectCommandBatch,
  FinishedRun,
  JobState,
  MachineState,
  MigratableTasks,
  Placement,
  PreemptibleMachine,
  ShardSettings,
  StoredRecords,
  TaskEvent,
} from './types.js';

export { isLeaving } from '../reachability/machine-health.js';
export { hostsServiceReplicas } from './placements.js';
export type { JobState, MachineState, ShardSettings, StoredRecords, Placement } from './types.js';

/**
 * What became of a heartbeat.
 *
 * - `answer`: it is to be answered with these commands, which renews the worker's lease;
 * - `superseded`: the worker obeys a higher term, so this shard has another owner;
 * - `old`: a newer one has been taken in;
 * - `unanswered`: taken in, but the lease is withheld;
 * - `unknown`: the machine is not one of this shard.
 */
export type HeartbeatResult =
  | { readonly kind: 'answer'; readonly commands: Command[] }
  | { readonly kind: 'superseded' }
  | { readonly kind: 'old' }
  | { readonly kind: 'unanswered' }
  | { readonly kind: 'unknown' };

/** One shard under one term. */
export class Shard {
  readonly state: ShardState;
  readonly #synchronizer: StoreSynchronizer;
  readonly #reconciler: HeartbeatReconciler;
  readonly #commands: CommandPlanner;
  readonly #scheduler: Scheduler;

  constructor(
    readonly index: number,
    readonly term: number,
    settings: ShardSettings,
  ) {
    this.state = new ShardState(index, term, settings);
    const quotas = new Quotas(this.state);
    this.#synchronizer = new StoreSynchronizer(this.state);
    this.#reconciler = new HeartbeatReconciler(this.state);
    this.#commands = new CommandPlanner(this.state);
    this.#scheduler = new Scheduler(this.state, quotas, new Preemption(this.state, quotas));
  }

  // --- records of the store ----------------------------------------------------------------------

  /**
   * Takes over the records of the store. With `changes` only what has changed since the last time is looked at.
   * `nowOfDay` is the time of day in ms.
   */
  sync(
    records: StoredRecords,
    now: number,
    timeOfDayMs = 0,
    changes: ChangedRecords | null = null,
  ): void {
    this.#synchronizer.sync(records, now, timeOfDayMs, changes);
  }

  /** Some record waits for a migration to end, so that `sync` is due without any change. */
  get hasDeferredJobs(): boolean {
    return this.#synchronizer.hasDeferredJobs;
  }

  /** The store shows these completions now. */
  markCompletionsSaved(uid: string, indexes: Iterable<number>): void {
    this.state.markCompletionsSaved(uid, indexes);
  }

  /** The machine is proven gone: what it ran may start elsewhere. */
  removeMachine(name: string, now: number): void {
    this.state.removeMachine(name, now);
  }

  // --- heartbeats and commands -------------------------------------------------------------------

  /**
   * Takes in a worker's heartbeat and finds its answer. `mayStart` is false while our authority is not proven:
   * running work then keeps its lease by the answer, but nothing new begins. With `mayRenew` false what it says
   * is taken in, but it gets no answer, so that its lease ends.
   */
  handleHeartbeat(
    heartbeat: Heartbeat,
    now: number,
    mayStart: boolean,
    mayRenew = true,
  ): HeartbeatResult {
    const machine = this.state.machines.get(heartbeat.machine);
    if (machine === undefined) return { kind: 'unknown' };
    if (heartbeat.fencingToken > this.state.term) return { kind: 'superseded' };
    if (isOutdated(machine, heartbeat)) return { kind: 'old' };
    machine.lastHeartbeatCounter = heartbeat.counter;
    machine.lastHeartbeatAt = now;
    if (!isNewerStatus(machine, heartbeat)) {
      // Its answer to a direct command overtook this heartbeat. Leaving it unanswered would cost the worker
      // its lease, and an answer without commands does no harm.
      if (!mayRenew) return { kind: 'unanswered' };
      machine.leaseRenewedAt = now;
      return { kind: 'answer', commands: [] };
    }
    this.#reconciler.reconcile(machine, heartbeat, now);
    if (!mayRenew && mayRunTasks(machine, heartbeat)) return { kind: 'unanswered' };
    machine.leaseRenewedAt = now;
    if (heartbeat.fencingToken !== this.state.term) {
      // Commands of an earlier term may still reach this worker: its list is not complete yet. The
      // answer raises its fencing token, and the next heartbeat counts.
      return { kind: 'answer', commands: [] };
    }
    // Capacity that this heartbeat shows is used in its own answer.
    if (mayStart) this.#scheduler.placeOn(machine, now);
    const commands = this.#commands.answerHeartbeat(machine, heartbeat, now, mayStart);
    return { kind: 'answer', commands };
  }

  /** Takes in a task list that came as the answer to direct commands; it renews no lease. */
  handleCommandStatus(heartbeat: Heartbeat, now: number): void {
    const machine = this.state.machines.get(heartbeat.machine);
    if (machine === undefined || heartbeat.fencingToken > this.state.term) return;
    if (heartbeat.agentEpoch < machine.minimumAgentEpoch) return;
    if (isNewerStatus(machine, heartbeat)) {
      this.#reconciler.reconcile(machine, heartbeat, now, 'command');
    }
  }

  /**
   * Starts and stops that should not wait for the next heartbeat, of at most `maxMachines` machines. The caller
   * tells the outcome of the starts to `directStartsSettled`, or nothing while it is in doubt.
   */
  directCommands(now: number, maxMachines = Infinity, mayStart = true): DirectCommandBatch[] {
    return this.#commands.directCommands(now, maxMachines, mayStart);
  }

  /** Direct starts were carried out, or never will be. */
  settleDirectStarts(starts: readonly Placement[], executed: boolean): void {
    this.#commands.settleDirectStarts(starts, executed);
  }

  /** Stops a task, with seconds of grace to save its progress. */
  requestStop(placement: Placement, graceS: number, now: number): void {
    this.state.requestStop(placement, graceS, now);
  }

  // --- placement ---------------------------------------------------------------------------------

  /** Places what fits, in order. Returns the jobs that found no capacity. */
  placeAll(now: number): JobState[] {
    return this.#scheduler.placeAll(now);
  }

  /** Jobs with tasks to place, most urgent first. */
  queue(now: number): JobState[] {
    return this.#scheduler.queue(now);
  }

  /** Ends leases that ran out with what ran under them, and whatever else ends by time alone. */
  expireLeases(now: number): void {
    expireLeases(this.state, now);
  }

  // --- task migration to other shards ------------------------------------------------------------

  /** Tasks of the job that may pass to another shard, if there are any. */
  migratableTasks(job: JobState, record: JobRecord): MigratableTasks | null {
    return migratableTasks(this.state, job, record);
  }

  /** Takes the tasks from..to-1 out of the queue, before the transaction that passes them is sent. */
  beginMigration(job: JobState, from: number, to: number): void {
    beginMigration(job, from, to);
  }

  /** The outcome of the transaction is known. */
  endMigration(job: JobState, passed: boolean, now: number): void {
    endMigration(job, passed, now);
  }

  // --- state -------------------------------------------------------------------------------------

  get jobs(): ReadonlyMap<string, JobState> {
    return this.state.jobs;
  }

  get machines(): ReadonlyMap<string, MachineState> {
    return this.state.machines;
  }

  /** What happened to tasks; the caller removes what it has logged. */
  get events(): TaskEvent[] {
    return this.state.events;
  }

  /** Run times of completed tasks; the caller removes what it has counted. */
  get finishedRuns(): FinishedRun[] {
    return this.state.finishedRuns;
  }

  /** No task can run anywhere by an earlier owner's command without a placement here. */
  get recovered(): boolean {
    return this.state.recovered;
  }

  get preemptionEnabled(): boolean {
    return this.state.settings.preempt;
  }

  // --- reachability ------------------------------------------------------------------------------

  /** See the table of `MachineHealth`. */
  isFresh(machine: MachineState, now: number): boolean {
    return this.state.health.isFresh(machine, now);
  }

  /** See the table of `MachineHealth`. */
  heartbeatsLost(machine: MachineState, now: number): boolean {
    return this.state.health.heartbeatsLost(machine, now);
  }

  /** See the table of `MachineHealth`. */
  commandsLost(machine: MachineState, now: number): boolean {
    return this.state.health.commandsLost(machine, now);
  }

  /** Machines should send heartbeats, and none has done so for `forMs`. */
  allHeartbeatsLost(now: number, forMs: number): boolean {
    return queries.allHeartbeatsLost(this.state, now, forMs);
  }

  /** Machines that have acknowledged our term but whose record does not say so yet. */
  newlyReadyMachines(): MachineState[] {
    return queries.newlyReadyMachines(this.state);
  }

  /** Machines that should be asked for their tasks by direct command. */
  machinesToProbe(): MachineState[] {
    return queries.machinesToProbe(this.state);
  }

  // --- load, for routing and for other shards ----------------------------------------------------

  /** Allocated share of the shard by rank and kind of machine, as `loadIndex` numbers them. */
  allocationRatios(now: number): number[] {
    return allocationRatios(this.state, now);
  }

  /** Tasks of this priority rank or a higher one that wait for capacity. */
  waitingTasks(rank: number, now: number): number {
    return queries.waitingTasks(this.state, rank, now);
  }

  /** Tasks of each class, waiting or placed. */
  activeTasksByClass(now: number): ClassActivity[] {
    return queries.activeTasksByClass(this.state, now);
  }

  /** Machines on which a job of some rank could preempt everything, with the least such rank. */
  preemptibleMachines(now: number): PreemptibleMachine[] {
    return queries.preemptibleMachines(this.state, now);
  }

  /** Machines that could take a task now. */
  machinesWithFreeCapacity(now: number): MachineState[] {
    return queries.machinesWithFreeCapacity(this.state, now);
  }
}

/**
 * Packets held back by a partition come late, and so do copies of heartbeats. What was made before the newest
 * heartbeat says nothing new, and the worker does not wait for its answer any more.
 */
const isOutdated = (machine: MachineState, { agentEpoch, counter }: Heartbeat): boolean =>
  agentEpoch < Math.max(machine.agentEpoch, machine.minimumAgentEpoch) ||
  (agentEpoch === machine.agentEpoch && counter <= machine.lastHeartbeatCounter);

/** Made after the newest task list that was taken in. */
const isNewerStatus = (machine: MachineState, { agentEpoch, counter }: Heartbeat): boolean =>
  agentEpoch > machine.agentEpoch ||
  (agentEpoch === machine.agentEpoch && counter > machine.lastStatusCounter);

/** An empty machine's lease is renewed in any case: there is nothing on it that could go on too long. */
const mayRunTasks = (machine: MachineState, { tasks }: Heartbeat): boolean =>
  machine.tasks.size + machine.unsettledDirectStarts.size > 0 || tasks.some(isLive);

const isLive = ({ state }: ReportedTask): boolean => state !== 'exited';
