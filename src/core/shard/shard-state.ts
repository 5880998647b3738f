/**
 * The state of one shard under one term: its jobs, its machines, and which task is placed where. Placements are
 * added, released and stopped here only; which task should run where is decided elsewhere.
 */
import { add, largestCapacity, ZERO_RESOURCES, type Resources } from '../model.js';
import { MachineHealth } from '../reachability/machine-health.js';
import { ATTEMPTS_PER_TERM } from './constants.js';
import { isUndispatched, taskKey } from './placements.js';
import type {
  FinishedRun,
  JobState,
  MachineState,
  Placement,
  ShardSettings,
  TaskEvent,
  WorkCounters,
} from './types.js';

/** The jobs, machines and placements of one shard under one term. */
export class ShardState {
  readonly jobs = new Map<string, JobState>();
  readonly machines = new Map<string, MachineState>();
  /** what happened to tasks, until the log takes it */
  readonly events: TaskEvent[] = [];
  /** run times of completed tasks, until the estimates take them */
  readonly finishedRuns: FinishedRun[] = [];
  /** machines that are surely gone but whose record is not dropped yet */
  readonly terminatedMachines = new Set<string>();
  readonly health: MachineHealth;
  readonly workCounters: WorkCounters = { machinesVisited: 0, jobsCompared: 0 };
  /** the largest capacity of each resource on any machine type */
  readonly largestCapacity: Resources;
  #attempts = 0;
  /** kept, since it is asked for every waiting job; see `machinesChanged` */
  #recovered = false;

  constructor(
    readonly index: number,
    readonly term: number,
    readonly settings: ShardSettings,
  ) {
    this.health = new MachineHealth(term, settings);
    this.largestCapacity = largestCapacity(settings.types.values());
  }

  // --- recovery from an earlier owner ------------------------------------------------------------

  /**
   * True once every machine that an earlier owner could have used has acknowledged our term or is gone: no task
   * can run anywhere without a placement here.
   */
  get recovered(): boolean {
    this.#recovered ||= this.#everyInheritedMachineConfirmed();
    return this.#recovered;
  }

  /** A machine was added, or another owner's record of one was taken over: `recovered` has to be found anew. */
  invalidateRecovered(): void {
    this.#recovered = false;
  }

  #everyInheritedMachineConfirmed(): boolean {
    for (const machine of this.machines.values()) {
      if (this.health.mayHoldInheritedTasks(machine) && !machine.everConfirmed) return false;
    }
    return true;
  }

  // --- placements --------------------------------------------------------------------------------

  /** A number that no other attempt of a task in this shard has, under any term. */
  nextAttempt(): number {
    this.#attempts += 1;
    return this.term * ATTEMPTS_PER_TERM + this.#attempts;
  }

  /** Puts a waiting task on a machine; its start is sent by the commands that follow. */
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

  /** Takes in a task that its worker lists and that was started under an earlier term. */
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
      state: 'placed',
      placedAt: now,
      startSentCounter: null,
      observed: false,
      directStartUnsettled: false,
      runningSince: null,
      stop: null,
    };
    const position = job.waitingTasks.indexOf(index);
    if (position >= 0) job.waitingTasks.splice(position, 1);
    job.placements.set(index, placement);
    machine.tasks.set(taskKey(job.spec.uid, index), placement);
    if (machine.reservation?.uid === job.spec.uid) machine.reservation = null;
    this.updateFreeCapacity(machine, now);
    return placement;
  }

  /**
   * The placement is proven gone, or its start never left: the task waits again unless it is completed or its
   * job has ended. A gang that loses a task is stopped as a whole.
   */
  release(placement: Placement, now: number, why = 'gone'): void {
    const { job, index, machine } = placement;
    // Stopping one task of a gang may release others that were to be stopped next: a task released
    // twice would wait twice, and start on two machines.
    if (job.placements.get(index) !== placement) return;
    this.recordEvent(placement.observed ? 'ended' : 'released', placement, now, why);
    machine.tasks.delete(taskKey(job.spec.uid, index));
    job.placements.delete(index);
    this.updateFreeCapacity(machine, now);
    if (job.ended) {
      if (job.placements.size === 0) this.jobs.delete(job.spec.uid);
      return;
    }
    const completed = job.savedCompletions.has(index) || job.unsavedCompletions.has(index);
    if (!completed) job.waitingTasks.push(index);
    if (job.spec.kind === 'gang') this.#gangTaskReleased(job, completed, now);
  }

  #gangTaskReleased(job: JobState, completed: boolean, now: number): void {
    if (job.placements.size === 0) {
      job.gangBroken = false;
      job.waitingTasks.sort((a, b) => a - b);
    } else if (!completed && !job.gangBroken) {
      job.gangBroken = true;
      for (const other of [...job.placements.values()]) this.requestStop(other, 0, now);
    }
  }

  /** Finds the machine's free capacity from its placements. */
  updateFreeCapacity(machine: MachineState, now: number): void {
    let free: Resources = machine.type ?? ZERO_RESOURCES;
    for (const { job } of machine.tasks.values()) free = add(free, job.spec.demand, -1);
    machine.free = free;
    if (machine.tasks.size > 0) machine.idleSince = now;
  }

  /**
   * Stops a task, or releases it at once if its start never left. A task of a gang that may save its progress
   * takes all of its gang along: only if all are told at the same time is their progress saved.
   */
  requestStop(placement: Placement, graceS: number, now: number): void {
    const { job } = placement;
    const wholeGang = job.spec.kind === 'gang' && graceS > 0;
    for (const one of wholeGang ? [...job.placements.values()] : [placement]) {
      this.#stop(one, graceS, now);
    }
  }

  #stop(placement: Placement, graceS: number, now: number): void {
    if (isUndispatched(placement)) {
      this.release(placement, now);
      return;
    }
    if (placement.stop !== null && placement.stop.graceS <= graceS) return;
    placement.stop = { requestedAt: now, graceS, sentDirectly: false };
    this.recordEvent('stopping', placement, now, `grace ${graceS} s`);
  }

  /** The job is completed or cancelled: nothing of it starts, and what runs is stopped without grace. */
  endJob(job: JobState, now: number): void {
    job.ended = true;
    job.waitingTasks = [];
    job.unsavedCompletions.clear();
    for (const placement of [...job.placements.values()]) this.requestStop(placement, 0, now);
    if (job.placements.size === 0) this.jobs.delete(job.spec.uid);
  }

  /** The store shows these completions now. */
  markCompletionsSaved(uid: string, indexes: Iterable<number>): void {
    const job = this.jobs.get(uid);
    if (job === undefined) return;
    for (const index of indexes) {
      job.unsavedCompletions.delete(index);
      job.savedCompletions.add(index);
    }
  }

  /** The machine is proven gone, or its record was taken over while it was empty: nothing of ours runs there. */
  removeMachine(name: string, now: number): void {
    const machine = this.machines.get(name);
    if (machine === undefined) return;
    this.terminatedMachines.add(name);
    for (const placement of [...machine.tasks.values()]) this.release(placement, now);
    this.machines.delete(name);
  }

  /** Notes for the log what happened to a task. */
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
