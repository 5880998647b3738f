/**
 * Holds the state of one shard under one term: its jobs, its machines and the placements of tasks on them. Placements
 * are added, released and stopped only here; the scheduler decides which tasks to place where.
 */
import { largestCapacity, type Resources, type TaskState } from '../model.js';
import { MachineHealth } from '../reachability/machine-health.js';
import { ATTEMPTS_PER_TERM } from './constants.js';
import type { MachineEvent } from './machine-events.js';
import { PlacementIndex } from './placement-index.js';
import { InertAttempt } from './inert-attempt.js';
import type { TokenRange } from './start-fencing.js';
import type {
  FinishedRun,
  JobState,
  MachineState,
  Placement,
  ShardSettings,
  TaskEvent,
  UnexpectedAttempt,
  WorkCounters,
} from './types.js';

/** The jobs, machines and placements of one shard under one term. */
export class ShardState {
  readonly term: number;
  readonly jobs = new Map<string, JobState>();
  readonly machines = new Map<string, MachineState>();
  /** task events that have not been logged yet */
  readonly events: TaskEvent[] = [];
  /** attempts that ended and run again, which have not been logged yet */
  readonly unexpectedAttempts: UnexpectedAttempt[] = [];
  /** events of machines that have not been logged yet */
  readonly machineEvents: MachineEvent[] = [];
  /** run times of completed tasks that have not been added to the estimates yet */
  readonly finishedRuns: FinishedRun[] = [];
  /** machines that are proven gone, but whose record may not be deleted yet */
  readonly terminatedMachines = new Set<string>();
  readonly health: MachineHealth;
  readonly workCounters: WorkCounters = { machinesVisited: 0, jobsCompared: 0 };
  /** the largest capacity of each resource on any machine type */
  readonly largestCapacity: Resources;
  readonly #placements = new PlacementIndex();
  /** machines whose workers list running tasks without a placement in this shard */
  readonly #machinesWithUnknownTasks = new Set<MachineState>();
  #attemptCount = 0;
  /** cached value of `recovered`, which is read for every waiting job; see `invalidateRecovered` */
  #recovered = false;

  constructor(
    readonly index: number,
    /** the fencing tokens of this shard's messages to workers; the first is its term */
    readonly tokens: TokenRange,
    readonly settings: ShardSettings,
  ) {
    this.term = tokens.first;
    this.health = new MachineHealth(this.term, settings);
    this.largestCapacity = largestCapacity(settings.types.values());
  }

  // --- recovery from an earlier owner ------------------------------------------------------------

  /**
   * Whether every machine that an earlier owner could have used has confirmed this shard's term or is gone. If so, no
   * task of this shard runs anywhere without a placement here.
   */
  get recovered(): boolean {
    this.#recovered ||= this.#everyInheritedMachineConfirmed();
    return this.#recovered;
  }

  /** Makes `recovered` be computed again, after a machine was added or another owner's record of it was applied. */
  invalidateRecovered(): void {
    this.#recovered = false;
  }

  #everyInheritedMachineConfirmed(): boolean {
    for (const machine of this.machines.values()) {
      if (this.health.mayHoldInheritedTasks(machine) && !machine.hasConfirmedTerm) return false;
    }
    return true;
  }

  // --- placements --------------------------------------------------------------------------------

  /** Returns an attempt number that is unique within this shard, across all terms. */
  nextAttempt(): number {
    this.#attemptCount += 1;
    return this.term * ATTEMPTS_PER_TERM + this.#attemptCount;
  }

  /** Whether the attempt number was given out by this shard under this term. */
  isOwnAttempt(attempt: number): boolean {
    return Math.floor(attempt / ATTEMPTS_PER_TERM) === this.term;
  }

  /** Places a waiting task on a machine. `CommandPlanner` sends the start. */
  place(
    job: JobState,
    index: number,
    attempt: number,
    machine: MachineState,
    now: number,
  ): Placement {
    const placement = this.#addPlacement(job, index, attempt, machine, now);
    this.recordEvent('placed', placement, now, imageDetail(placement));
    return placement;
  }

  /** Adds a placement for a task that was started under an earlier term and that its worker lists. */
  adopt(
    job: JobState,
    index: number,
    attempt: number,
    machine: MachineState,
    now: number,
  ): Placement {
    const placement = this.#addPlacement(job, index, attempt, machine, now);
    placement.observed = true;
    this.recordEvent('adopted', placement, now, imageDetail(placement));
    return placement;
  }

  #addPlacement(
    job: JobState,
    index: number,
    attempt: number,
    machine: MachineState,
    now: number,
  ): Placement {
    const placement: Placement = {
      job,
      index,
      attempt,
      machine,
      zone: machine.record.zone,
      state: 'placed',
      placedAt: now,
      startSentCounter: null,
      observed: false,
      directStart: null,
      runningSince: null,
      stop: null,
    };
    job.waitingTasks.delete(index);
    job.gangStopGraceS = null;
    this.#placements.add(placement);
    if (machine.reservation?.uid === job.spec.uid) machine.reservation = null;
    machine.idleSince = now;
    return placement;
  }

  /** Undoes `place` for a placement whose start was not sent: its task waits again where it did before. */
  undoPlacement(placement: Placement): void {
    this.#placements.remove(placement);
    placement.job.waitingTasks.add(placement.index);
  }

  /** Records the state of a placed task as its worker lists it. */
  recordTaskState(placement: Placement, state: Exclude<TaskState, 'exited'>): void {
    this.#placements.setState(placement, state);
  }

  /** Returns the total demand of the placed tasks of the team. */
  usedBy(team: string): Resources {
    return this.#placements.usedBy(team);
  }

  /** Records how many running tasks without a placement in this shard the newest task list of the machine has. */
  recordUnknownTasks(machine: MachineState, count: number, now: number): void {
    machine.unknownTaskCount = count;
    machine.unknownTasksSince = count === 0 ? null : (machine.unknownTasksSince ?? now);
    if (count > 0) this.#machinesWithUnknownTasks.add(machine);
    else this.#machinesWithUnknownTasks.delete(machine);
  }

  /** Whether a worker lists running tasks without a placement in this shard. */
  get hasUnknownTasks(): boolean {
    return this.#machinesWithUnknownTasks.size > 0;
  }

  /** Removes a placement if no start of it was sent that could still take effect. Returns whether it did. */
  releaseIfNotSent(placement: Placement, now: number): boolean {
    const evidence = InertAttempt.notSent(placement);
    if (evidence !== null) this.release(placement, now, evidence);
    return evidence !== null;
  }

  /**
   * Removes a placement whose attempt can't begin or go on any more, as `evidence` shows. The task waits again unless
   * it is completed or its job has ended. A gang that loses a task is stopped as a whole.
   */
  release(
    placement: Placement,
    now: number,
    evidence: InertAttempt,
    reason: string = evidence.reason,
  ): void {
    const { job, index, machine } = placement;
    // Stopping one task of a gang may release other tasks of it that the caller is about to stop or release, too. A
    // task that is released twice would be queued twice, and start on two machines.
    if (job.placements.get(index) !== placement) return;
    this.recordEvent(placement.observed ? 'ended' : 'released', placement, now, reason);
    this.#placements.remove(placement);
    if (machine.tasks.size > 0) machine.idleSince = now;
    if (job.ended) {
      if (job.placements.size === 0) this.jobs.delete(job.spec.uid);
      return;
    }
    const completed = job.savedCompletions.has(index) || job.unsavedCompletions.has(index);
    if (!completed) job.waitingTasks.addLast(index);
    if (job.spec.kind === 'gang') this.#gangTaskReleased(job, completed, now);
  }

  #gangTaskReleased(job: JobState, completed: boolean, now: number): void {
    if (job.placements.size === 0) {
      job.gangBroken = false;
      job.waitingTasks.sort();
    } else if (!completed && !job.gangBroken) {
      job.gangBroken = true;
      for (const other of [...job.placements.values()]) this.requestStop(other, 0, now);
    }
  }

  /**
   * Stops a task, or releases it at once if its start was never sent. If a task of a gang gets a grace period to save
   * its progress, all tasks of the gang are stopped: a gang saves its progress only if they all stop at the same time.
   */
  requestStop(placement: Placement, graceS: number, now: number): void {
    const { job } = placement;
    if (job.spec.kind !== 'gang' || graceS <= 0) {
      this.#stop(placement, graceS, now);
      return;
    }
    // A machine that is to be emptied asks for this once for each of its tasks.
    if (job.gangStopGraceS !== null && job.gangStopGraceS <= graceS) return;
    job.gangStopGraceS = graceS;
    for (const target of [...job.placements.values()]) this.#stop(target, graceS, now);
  }

  #stop(placement: Placement, graceS: number, now: number): void {
    if (this.releaseIfNotSent(placement, now)) return;
    if (placement.stop !== null && placement.stop.graceS <= graceS) return;
    placement.stop = { requestedAt: now, graceS, sentDirectly: false };
    placement.machine.hasUnsentStops = true;
    this.recordEvent('stopping', placement, now, `grace ${graceS} s`);
  }

  /** Ends a completed or cancelled job: none of its tasks starts, and running ones are stopped without grace. */
  endJob(job: JobState, now: number): void {
    job.ended = true;
    job.waitingTasks.clear();
    job.unsavedCompletions.clear();
    for (const placement of [...job.placements.values()]) this.requestStop(placement, 0, now);
    if (job.placements.size === 0) this.jobs.delete(job.spec.uid);
  }

  /** Marks completed tasks as saved in the store. */
  markCompletionsSaved(uid: string, indexes: Iterable<number>): void {
    const job = this.jobs.get(uid);
    if (job === undefined) return;
    for (const index of indexes) {
      job.unsavedCompletions.delete(index);
      job.savedCompletions.add(index);
    }
  }

  /** Removes a machine that is proven gone, or that is empty and whose record is no longer this shard's. */
  removeMachine(name: string, now: number): void {
    const machine = this.machines.get(name);
    if (machine === undefined) return;
    this.terminatedMachines.add(name);
    const evidence = InertAttempt.machineGone();
    for (const placement of [...machine.tasks.values()]) this.release(placement, now, evidence);
    this.machines.delete(name);
    this.#machinesWithUnknownTasks.delete(machine);
  }

  /** Adds an event for the log. */
  recordEvent(type: TaskEvent['type'], placement: Placement, now: number, detail?: string): void {
    const { job, index, attempt, machine } = placement;
    this.events.push({
      type,
      uid: job.spec.uid,
      index,
      machine: machine.record.name,
      attempt,
      afterS: Math.round((now - job.acceptedAtMonotonic) / 100) / 10,
      ...(detail === undefined ? {} : { detail }),
    });
  }
}

const imageDetail = ({ job, machine }: Placement): string =>
  machine.images.has(job.spec.image) ? 'image held' : 'image to fetch';
