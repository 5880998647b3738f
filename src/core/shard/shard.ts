import type { JobRecord, Command, Heartbeat, ReportedTask, TaskRange } from '../model.js';
import {
  type Changes,
  type FinishedRun,
  type JobState,
  type MachineState,
  type ShardSettings,
  type ShardView,
  type Placement,
  type TaskEvent,
} from './types.js';
import { ShardState } from './shard-state.js';
import { allocationRatios } from '../capacity/allocation-ratio.js';
import { Quotas } from '../placement/quotas.js';
import { CommandPlanner } from './command-planner.js';
import { Scheduler } from '../placement/scheduler.js';
import { Preemption } from '../preemption/preemption.js';
import { HeartbeatReconciler } from './heartbeat-reconciler.js';

export { hostsServiceReplicas as serves } from './types.js';
export type { JobState, MachineState, ShardSettings, ShardView, Placement } from './types.js';

export type HeartbeatResult =
  | { readonly kind: 'answer'; readonly commands: Command[] }
  | { readonly kind: 'superseded' }
  | { readonly kind: 'old' }
  | { readonly kind: 'unanswered' }
  | { readonly kind: 'unknown' };

const isLive = (t: ReportedTask): boolean => t.state !== 'exited';

/**
 * One shard's state under one term: reports in, wanted commands out. Time is passed in; nothing here
 * does input or output.
 */
export class Shard {
  readonly state: ShardState;
  readonly #heartbeats: HeartbeatReconciler;
  readonly #commands: CommandPlanner;
  readonly #placing: Scheduler;

  constructor(
    readonly index: number,
    readonly term: number,
    settings: ShardSettings,
  ) {
    this.state = new ShardState(index, term, settings);
    const limits = new Quotas(this.state);
    this.#heartbeats = new HeartbeatReconciler(this.state);
    this.#commands = new CommandPlanner(this.state);
    this.#placing = new Scheduler(this.state, limits, new Preemption(this.state, limits));
  }

  /**
   * A worker's report. `mayStart` is false while our authority is not proven: running work then
   * keeps its lease by the answer, but nothing new begins. With `mayRenew` false what it says is
   * taken in, but it gets no answer, so that its lease ends.
   */
  handleHeartbeat(
    heartbeat: Heartbeat,
    now: number,
    mayStart: boolean,
    mayRenew = true,
  ): HeartbeatResult {
    const m = this.state.machines.get(heartbeat.machine);
    if (m === undefined) return { kind: 'unknown' };
    if (heartbeat.fencingToken > this.state.term) return { kind: 'superseded' };
    // Packets held back by a cut come late, and so do copies of reports. What was made before the
    // newest report says nothing new, and the worker does not wait for its answer any more.
    const past = heartbeat.agentEpoch < Math.max(m.agentEpoch, m.minimumAgentEpoch);
    if (
      past ||
      (heartbeat.agentEpoch === m.agentEpoch && heartbeat.counter <= m.lastHeartbeatCounter)
    ) {
      return { kind: 'old' };
    }
    m.lastHeartbeatCounter = heartbeat.counter;
    m.lastHeartbeatAt = now;
    if (heartbeat.agentEpoch === m.agentEpoch && heartbeat.counter <= m.lastStatusCounter) {
      // Its answer to a direct command overtook this report. Sending it away would cost the worker
      // its node, and an answer without orders does no harm.
      if (!mayRenew) return { kind: 'unanswered' };
      m.leaseRenewedAt = now;
      return { kind: 'answer', commands: [] };
    }
    this.#heartbeats.reconcile(m, heartbeat, now);
    // An empty machine is renewed all the same: there is nothing on it that could go on too long.
    if (
      !mayRenew &&
      (m.tasks.size + m.unsettledDirectStarts.size > 0 || heartbeat.tasks.some(isLive))
    ) {
      return { kind: 'unanswered' };
    }
    m.leaseRenewedAt = now;
    if (heartbeat.fencingToken !== this.state.term) {
      // Orders of an earlier term may still reach this worker: its list is not complete yet. The
      // answer raises its token, and the next report counts.
      return { kind: 'answer', commands: [] };
    }
    // Room that this report shows is given away in its own answer.
    if (mayStart) this.#placing.placeOn(m, now);
    return {
      kind: 'answer',
      commands: this.#commands.answerHeartbeat(m, heartbeat, now, mayStart),
    };
  }

  /** A report that came as the answer to direct commands. */
  handleCommandStatus(heartbeat: Heartbeat, now: number): void {
    const m = this.state.machines.get(heartbeat.machine);
    if (
      m === undefined ||
      heartbeat.fencingToken > this.state.term ||
      heartbeat.agentEpoch < m.minimumAgentEpoch
    )
      return;
    const newer =
      heartbeat.agentEpoch > m.agentEpoch ||
      (heartbeat.agentEpoch === m.agentEpoch && heartbeat.counter > m.lastStatusCounter);
    if (newer) this.#heartbeats.reconcile(m, heartbeat, now, true);
  }

  // --- what the shard's state know -----------------------------------------------------------------------

  get jobs(): ReadonlyMap<string, JobState> {
    return this.state.jobs;
  }
  get machines(): ReadonlyMap<string, MachineState> {
    return this.state.machines;
  }
  get events(): TaskEvent[] {
    return this.state.events;
  }
  get finishedRuns(): FinishedRun[] {
    return this.state.finishedRuns;
  }
  get recovered(): boolean {
    return this.state.recovered;
  }
  get preemptionEnabled(): boolean {
    return this.state.settings.preempt;
  }
  sync(view: ShardView, now: number, nowOfDay = 0, changes: Changes | null = null): void {
    this.state.sync(view, now, nowOfDay, changes);
  }
  completionsSaved(uid: string, indexes: Iterable<number>): void {
    this.state.completionsSaved(uid, indexes);
  }
  removeMachine(name: string, now: number): void {
    this.state.removeMachine(name, now);
  }
  requestStop(p: Placement, graceS: number, now: number): void {
    this.state.requestStop(p, graceS, now);
  }
  expireLeases(now: number): void {
    this.state.expireLeases(now);
  }
  newlyReadyMachines(): MachineState[] {
    return this.state.newlyReadyMachines();
  }
  machinesToProbe(): MachineState[] {
    return this.state.machinesToProbe();
  }
  losesCommands(m: MachineState, now: number): boolean {
    return this.state.health.losesCommands(m, now);
  }
  /** Machines of the shard should report, and none has done so for the time, however new the owner is. */
  allHeartbeatsLost(now: number, forMs: number): boolean {
    return this.state.allHeartbeatsLost(now, forMs);
  }
  isLost(m: MachineState, now: number): boolean {
    return this.state.health.isLost(m, now);
  }
  isFresh(m: MachineState, now: number): boolean {
    return this.state.health.isFresh(m, now);
  }
  /** Booked share of the shard for each rank, as `loadIndex` numbers them. */
  allocationRatios(now: number): number[] {
    return allocationRatios(this.state, now);
  }
  waitingTasks(rank: number, now: number): number {
    return this.state.waitingTasks(rank, now);
  }
  preemptibleMachines(now: number): { machine: MachineState; rank: number }[] {
    return this.state.preemptibleMachines(now);
  }
  activeTasksByClass(now: number): { jobClass: string; tasks: number }[] {
    return this.state.activeTasksByClass(now);
  }
  machinesWithFreeCapacity(now: number): MachineState[] {
    return this.state.machinesWithFreeCapacity(now);
  }

  // --- passing -----------------------------------------------------------------------------------

  migratable(job: JobState, record: JobRecord): { range: TaskRange; from: number } | null {
    return this.state.migratable(job, record);
  }
  beginMigration(job: JobState, from: number, to: number): void {
    this.state.beginMigration(job, from, to);
  }
  endMigration(job: JobState, passed: boolean, now: number): void {
    this.state.endMigration(job, passed, now);
  }

  // --- placing and orders ------------------------------------------------------------------------

  /** Places what fits, in order. Returns the jobs that found no room. */
  placeAll(now: number): JobState[] {
    return this.#placing.placeAll(now);
  }
  queue(now: number): JobState[] {
    return this.#placing.queue(now);
  }
  directCommands(
    now: number,
    most = Infinity,
    mayStart = true,
  ): ReturnType<CommandPlanner['directCommands']> {
    return this.#commands.directCommands(now, most, mayStart);
  }
  directStartsSettled(starts: readonly Placement[], executed: boolean): void {
    this.#commands.directStartsSettled(starts, executed);
  }
}
