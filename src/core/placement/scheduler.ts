/** The placement of the waiting tasks of a shard on machines. */
import { placeableTasks } from '../reachability/failure-tracker.js';
import type { JobState, MachineState, Placement } from '../shard/types.js';
import { type ShardState } from '../shard/shard-state.js';
import type { Quotas } from './quotas.js';
import { add, fitCount, type Resources } from '../model.js';
import { ComplementFinder } from './complement-finder.js';
import type { Preemption } from '../preemption/preemption.js';
import { Candidates } from './candidates.js';
import { hasPlaceableTasks, minimumDemandOf, orderedQueue } from './job-queue.js';
import { freeTaskSlots, hasCapacityFor, tasksPlaceableOn } from './machine-capacity.js';

/**
 * Places the tasks of the waiting jobs of a shard, most urgent jobs first: in full passes over the whole queue, and between them on
 * single machines whose capacity has become free.
 */
export class Scheduler {
  /**
   * Jobs that could not be placed completely in the last full pass, and the minimum of their demands; null if there
   * were none.
   */
  #lastFullPass: { unschedulable: JobState[]; minimumDemand: Resources } | null = null;
  #isPassIncomplete = false;

  constructor(
    private readonly state: ShardState,
    private readonly quotas: Quotas,
    private readonly preemption: Preemption,
  ) {}

  /** Returns the jobs with tasks to place, most urgent first; see `job-queue.ts`. */
  queue(now: number): JobState[] {
    return orderedQueue(this.state, this.quotas, now);
  }

  /** The jobs that could not be placed completely in the last full pass, most urgent first. */
  get unschedulableJobs(): readonly JobState[] {
    return this.#lastFullPass?.unschedulable ?? [];
  }

  /** Cancels reservations for jobs that have ended or have no waiting tasks. */
  #dropStaleReservations(): void {
    for (const machine of this.state.machines.values()) {
      if (machine.reservation === null) continue;
      const job = this.state.jobs.get(machine.reservation.uid);
      if (job === undefined || job.ended || job.waitingTasks.size === 0) machine.reservation = null;
    }
  }

  /** Whether the last full pass ended after `MAX_PLACEMENTS_PER_PASS`, so that another one should follow soon. */
  get isPassIncomplete(): boolean {
    return this.#isPassIncomplete;
  }

  /**
   * Makes a full pass: places the tasks that fit, in the order of the queue, and reserves capacity for the other jobs.
   * Returns the jobs with tasks that could not be placed. A pass ends early after `MAX_PLACEMENTS_PER_PASS`; what it
   * has not reached, and the reservations, then stay as they are.
   */
  placeAll(now: number): JobState[] {
    this.#dropStaleReservations();
    const queue = this.queue(now);
    this.#lastFullPass = null;
    this.#isPassIncomplete = false;
    if (queue.length === 0) return [];
    const minimumDemand = minimumDemandOf(queue);
    const candidates = new Candidates(this.state, minimumDemand, now);
    const unschedulable = this.#place(queue, candidates);
    this.#isPassIncomplete = candidates.isLimitReached;
    if (this.#isPassIncomplete) return unschedulable;
    this.#lastFullPass =
      unschedulable.length === 0
        ? null
        : { unschedulable, minimumDemand: minimumDemandOf(unschedulable) };
    const unschedulableJobs = new Set(unschedulable);
    for (const job of queue)
      job.unschedulableSince = unschedulableJobs.has(job) ? (job.unschedulableSince ?? now) : null;
    this.preemption.reserveCapacity(unschedulable, now);
    return unschedulable;
  }

  /**
   * Places tasks of jobs that found no capacity in the last full pass on one machine. Jobs that have begun to wait
   * since then are left to the next full pass, which is never far away.
   */
  placeOn(machine: MachineState, now: number): void {
    if (this.#lastFullPass === null || !hasCapacityFor(machine, this.#lastFullPass.minimumDemand))
      return;
    // Thousands of jobs may wait, and this runs on every heartbeat: jobs whose demand does not fit are left out first.
    const { recovered } = this.state;
    const open = this.#lastFullPass.unschedulable.filter(
      (job) => hasCapacityFor(machine, job.spec.demand) && hasPlaceableTasks(job, recovered, now),
    );
    const queue = this.#cachedImagesFirst(open, machine, now);
    if (queue.length === 0) return;
    const { minimumDemand } = this.#lastFullPass;
    this.#place(queue, new Candidates(this.state, minimumDemand, now, machine));
  }

  /**
   * Reorders jobs of the same rank for one machine: jobs whose image the machine holds come first, since a slot does
   * nothing useful while an image is fetched. Gangs and jobs that are due, which includes jobs that have waited long
   * for their first task, are never passed over for that.
   */
  #cachedImagesFirst(queue: readonly JobState[], machine: MachineState, now: number): JobState[] {
    const ordered: JobState[] = [];
    for (let i = 0; i < queue.length;) {
      const { priorityRank: rank } = queue[i]!;
      const passedOver: JobState[] = [];
      for (; i < queue.length && queue[i]!.priorityRank === rank; i++) {
        const job = queue[i]!;
        const mayWait = job.spec.kind !== 'gang' && job.startDeadline > now;
        const isPassedOver = mayWait && !machine.images.has(job.spec.image);
        (isPassedOver ? passedOver : ordered).push(job);
      }
      ordered.push(...passedOver);
    }
    return ordered;
  }

  /** Places the tasks of the queue on the candidates. Returns the jobs with tasks that could not be placed. */
  #place(queue: readonly JobState[], candidates: Candidates): JobState[] {
    const unschedulable: JobState[] = [];
    const complements = new ComplementFinder(queue, candidates.now, this.state.workCounters);
    for (const [position, job] of queue.entries()) {
      if (candidates.isLimitReached) break;
      const isPlaced =
        job.spec.kind === 'gang'
          ? this.#placeGang(job, candidates)
          : this.#placeTasks(job, position, complements, candidates);
      if (!isPlaced) unschedulable.push(job);
    }
    return unschedulable;
  }

  /** Places tasks of an array or a service. Returns false if one of them could not be placed. */
  #placeTasks(
    job: JobState,
    position: number,
    complements: ComplementFinder,
    candidates: Candidates,
  ): boolean {
    while (!candidates.isLimitReached && placeableTasks(job, candidates.now) > 0) {
      if (!this.#placeNext(job, position, complements, candidates)) return false;
    }
    return true;
  }

  /**
   * Places the next tasks of the job on one machine: each together with a task of the complementary job, or alone if
   * there is none or no machine fits both. As many are placed as would choose the same machine one after the other.
   * Returns false if no task can be placed.
   */
  #placeNext(
    job: JobState,
    position: number,
    complements: ComplementFinder,
    candidates: Candidates,
  ): boolean {
    if (candidates.isKnownUnschedulable(job, 1)) return false;
    const tasksAllowed = this.quotas.tasksWithinLimit(job);
    if (tasksAllowed < 1) return false;
    const partner = complements.complementOf(job, position);
    if (partner !== null && this.#placePairs(job, partner, tasksAllowed, candidates)) return true;
    const machine = candidates.bestMachine(job, job.spec.demand);
    if (machine === null) {
      candidates.recordUnschedulable(job, 1);
      return false;
    }
    const placeable = Math.min(tasksAllowed, placeableTasks(job, candidates.now));
    this.#startTasks(job, machine, candidates, placeable);
    return true;
  }

  /** Places pairs of tasks of two complementary jobs on one machine. Returns false if no machine fits a pair. */
  #placePairs(
    job: JobState,
    partner: JobState,
    tasksAllowed: number,
    candidates: Candidates,
  ): boolean {
    const partnerTasksAllowed = this.quotas.tasksWithinLimit(partner);
    if (partnerTasksAllowed < 1) return false;
    const sameTeam = partner.spec.team === job.spec.team;
    if (sameTeam && tasksAllowed < 2) return false;
    const pairDemand = add(job.spec.demand, partner.spec.demand);
    const machine = candidates.bestMachine(job, pairDemand, partner);
    if (machine === null) return false;
    // The tasks of a team with a limit share it, so they are placed one pair at a time.
    const isLimited = tasksAllowed !== Infinity || partnerTasksAllowed !== Infinity;
    const pairs = isLimited ? 1 : pairsPlaceableOn(machine, job, partner, pairDemand);
    const { now } = candidates;
    const waitingPairs = Math.min(placeableTasks(job, now), placeableTasks(partner, now));
    const pairsToPlace = Math.min(pairs, waitingPairs);
    for (let placed = 0; placed < pairsToPlace; placed++) {
      this.#placeFirst(job, machine, now);
      this.#placeFirst(partner, machine, now);
    }
    candidates.capacityTaken(machine, 2 * pairsToPlace);
    return true;
  }

  /** Places up to `limit` tasks of the job on a machine that fits at least one. Returns their placements. */
  #startTasks(
    job: JobState,
    machine: MachineState,
    candidates: Candidates,
    limit: number,
    gangAttempt: number | null = null,
  ): Placement[] {
    const count = Math.min(limit, tasksAtOnce(machine, job));
    const placed: Placement[] = [];
    while (placed.length < count) {
      placed.push(this.#placeFirst(job, machine, candidates.now, gangAttempt));
    }
    candidates.capacityTaken(machine, count);
    return placed;
  }

  #placeFirst(
    job: JobState,
    machine: MachineState,
    now: number,
    attempt: number | null = null,
  ): Placement {
    return this.state.place(
      job,
      job.waitingTasks.first!,
      attempt ?? this.state.nextAttempt(),
      machine,
      now,
    );
  }

  /**
   * Places all tasks of a gang or none of them, one after the other on the machine that fits best. A gang that has to
   * stay in one zone tries the zones in order of name. Returns false if the gang cannot be placed.
   */
  #placeGang(job: JobState, candidates: Candidates): boolean {
    const tasks = job.waitingTasks.size;
    if (job.placements.size > 0 || candidates.isKnownUnschedulable(job, tasks)) return false;
    if (this.quotas.tasksWithinLimit(job) < tasks) return false;
    const zones = job.spec.oneZone ? candidates.zones : [null];
    for (const zone of zones) {
      if (!candidates.hasSlots(job, tasks, zone)) continue;
      const attempt = this.state.nextAttempt();
      const placed: Placement[] = [];
      const reservations = new Map<MachineState, MachineState['reservation']>();
      while (job.waitingTasks.size > 0) {
        const machine = candidates.bestMachine(job, job.spec.demand, null, zone);
        if (machine === null) break;
        if (!reservations.has(machine)) reservations.set(machine, machine.reservation);
        const limit = job.waitingTasks.size;
        placed.push(...this.#startTasks(job, machine, candidates, limit, attempt));
      }
      if (job.waitingTasks.size === 0) return true;
      this.#undoPlacements(placed, candidates);
      for (const [machine, reservation] of reservations) machine.reservation = reservation;
    }
    candidates.recordUnschedulable(job, tasks);
    return false;
  }

  /** Undoes the placements of a gang that did not fit completely. None of their starts has been sent yet. */
  #undoPlacements(placed: readonly Placement[], candidates: Candidates): void {
    const machines = new Set<MachineState>();
    for (const placement of placed) {
      this.state.undoPlacement(placement);
      machines.add(placement.machine);
    }
    for (const machine of machines) candidates.capacityReturned(machine);
  }
}

/** Returns how many tasks of the job to place at once on the machine that is the best one for the next of them. */
const tasksAtOnce = (machine: MachineState, job: JobState): number =>
  // Each replica of a service changes which machine is the best one for the next replica.
  job.spec.kind === 'service' ? 1 : tasksPlaceableOn(machine, job);

/** Returns how many pairs of tasks of the two jobs to place at once on the machine that is the best one for a pair. */
const pairsPlaceableOn = (
  machine: MachineState,
  job: JobState,
  partner: JobState,
  pairDemand: Resources,
): number =>
  Math.min(
    tasksAtOnce(machine, job),
    tasksAtOnce(machine, partner),
    fitCount(pairDemand, machine.free),
    Math.floor(freeTaskSlots(machine) / 2),
  );
