import type { JobRecord, Command, Report, ReportedTask, TaskRange } from '../model.js';
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
import { bookedShares } from '../capacity/allocation-ratio.js';
import { Limits } from '../placement/quotas.js';
import { CommandPlanner } from './command-planner.js';
import { Placing } from '../placement/scheduler.js';
import { Preemption } from '../preemption/preemption.js';
import { Reports } from './heartbeat-reconciler.js';

export { serves } from './types.js';
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
  readonly #reports: Reports;
  readonly #orders: CommandPlanner;
  readonly #placing: Placing;

  constructor(
    readonly index: number,
    readonly term: number,
    settings: ShardSettings,
  ) {
    this.state = new ShardState(index, term, settings);
    const limits = new Limits(this.state);
    this.#reports = new Reports(this.state);
    this.#orders = new CommandPlanner(this.state);
    this.#placing = new Placing(this.state, limits, new Preemption(this.state, limits));
  }

  /**
   * A worker's report. `mayStart` is false while our authority is not proven: running work then
   * keeps its lease by the answer, but nothing new begins. With `mayRenew` false what it says is
   * taken in, but it gets no answer, so that its lease ends.
   */
  beat(report: Report, now: number, mayStart: boolean, mayRenew = true): HeartbeatResult {
    const m = this.state.machines.get(report.machine);
    if (m === undefined) return { kind: 'unknown' };
    if (report.token > this.state.term) return { kind: 'superseded' };
    // Packets held back by a cut come late, and so do copies of reports. What was made before the
    // newest report says nothing new, and the worker does not wait for its answer any more.
    const past = report.session < Math.max(m.session, m.leastSession);
    if (past || (report.session === m.session && report.counter <= m.lastReport)) {
      return { kind: 'old' };
    }
    m.lastReport = report.counter;
    m.reportedAt = now;
    if (report.session === m.session && report.counter <= m.counter) {
      // Its answer to a direct command overtook this report. Sending it away would cost the worker
      // its node, and an answer without orders does no harm.
      if (!mayRenew) return { kind: 'unanswered' };
      m.answeredAt = now;
      return { kind: 'answer', commands: [] };
    }
    this.#reports.observe(m, report, now);
    // An empty machine is renewed all the same: there is nothing on it that could go on too long.
    if (!mayRenew && (m.tasks.size + m.doubtful.size > 0 || report.tasks.some(isLive))) {
      return { kind: 'unanswered' };
    }
    m.answeredAt = now;
    if (report.token !== this.state.term) {
      // Orders of an earlier term may still reach this worker: its list is not complete yet. The
      // answer raises its token, and the next report counts.
      return { kind: 'answer', commands: [] };
    }
    // Room that this report shows is given away in its own answer.
    if (mayStart) this.#placing.placeOn(m, now);
    return { kind: 'answer', commands: this.#orders.answer(m, report, now, mayStart) };
  }

  /** A report that came as the answer to direct commands. */
  inspected(report: Report, now: number): void {
    const m = this.state.machines.get(report.machine);
    if (m === undefined || report.token > this.state.term || report.session < m.leastSession)
      return;
    const newer =
      report.session > m.session || (report.session === m.session && report.counter > m.counter);
    if (newer) this.#reports.observe(m, report, now, true);
  }

  // --- what the shard's state know -----------------------------------------------------------------------

  get jobs(): ReadonlyMap<string, JobState> {
    return this.state.jobs;
  }
  get machines(): ReadonlyMap<string, MachineState> {
    return this.state.machines;
  }
  get happened(): TaskEvent[] {
    return this.state.happened;
  }
  get finishedRuns(): FinishedRun[] {
    return this.state.finishedRuns;
  }
  get rebuilt(): boolean {
    return this.state.rebuilt;
  }
  get preempts(): boolean {
    return this.state.settings.preempt;
  }
  sync(view: ShardView, now: number, nowOfDay = 0, changes: Changes | null = null): void {
    this.state.sync(view, now, nowOfDay, changes);
  }
  saved(uid: string, indexes: Iterable<number>): void {
    this.state.saved(uid, indexes);
  }
  machineGone(name: string, now: number): void {
    this.state.machineGone(name, now);
  }
  requestStop(p: Placement, graceS: number, now: number): void {
    this.state.requestStop(p, graceS, now);
  }
  age(now: number): void {
    this.state.age(now);
  }
  justUp(): MachineState[] {
    return this.state.justUp();
  }
  machinesToProbe(): MachineState[] {
    return this.state.machinesToProbe();
  }
  ignoresCommands(m: MachineState, now: number): boolean {
    return this.state.health.ignoresCommands(m, now);
  }
  /** Machines of the shard should report, and none has done so for the time, however new the owner is. */
  hearsNobody(now: number, forMs: number): boolean {
    return this.state.hearsNobody(now, forMs);
  }
  isLost(m: MachineState, now: number): boolean {
    return this.state.health.isLost(m, now);
  }
  isFresh(m: MachineState, now: number): boolean {
    return this.state.health.isFresh(m, now);
  }
  /** Booked share of the shard for each rank, as `loadIndex` numbers them. */
  loads(now: number): number[] {
    return bookedShares(this.state, now);
  }
  waiting(rank: number, now: number): number {
    return this.state.waiting(rank, now);
  }
  displaceable(now: number): { m: MachineState; rank: number }[] {
    return this.state.displaceable(now);
  }
  busy(now: number): { jobClass: string; tasks: number }[] {
    return this.state.busy(now);
  }
  rooms(now: number): MachineState[] {
    return this.state.rooms(now);
  }

  // --- passing -----------------------------------------------------------------------------------

  transferable(job: JobState, record: JobRecord): { range: TaskRange; from: number } | null {
    return this.state.transferable(job, record);
  }
  beginTransfer(job: JobState, from: number, to: number): void {
    this.state.beginTransfer(job, from, to);
  }
  endTransfer(job: JobState, passed: boolean, now: number): void {
    this.state.endTransfer(job, passed, now);
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
  ): ReturnType<CommandPlanner['direct']> {
    return this.#orders.direct(now, most, mayStart);
  }
  directSettled(starts: readonly Placement[], executed: boolean): void {
    this.#orders.settled(starts, executed);
  }
}
