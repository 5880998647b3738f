import { FIRST_TASK_DUE_MS, DEFAULT_START_OBJECTIVE_S } from './constants.js';
import { placeableTasks } from '../reachability/failure-tracker.js';
import { taskKey } from '../shard/placements.js';
import type { JobState, MachineState, Placement } from '../shard/types.js';
import { type ShardState } from '../shard/shard-state.js';
import type { Quotas } from './quotas.js';
import { add, fits, RESOURCE_KINDS, type Resources } from '../model.js';
import { ComplementFinder } from './partners.js';
import type { Preemption } from '../preemption/preemption.js';
import { Candidates } from './candidates.js';

/** The queue of a shard, and where its tasks go. */
export class Scheduler {
  /** the last full pass: who found no room, and what all of them ask for at least */
  #last: { stuck: JobState[]; least: Resources } | null = null;

  constructor(
    private readonly state: ShardState,
    private readonly limits: Quotas,
    private readonly preemption: Preemption,
  ) {}

  /** Steady ms by which the job's tasks should start: its first aim that can still be met. */
  #due(job: JobState, aims: readonly number[], now: number): number {
    for (const within of aims) {
      const due = job.acceptedAtMonotonic + within * 1000;
      if (due >= now) return due;
    }
    const { deadlineS, estimateS } = job.spec;
    const last =
      aims.at(-1) ?? (deadlineS === null ? DEFAULT_START_OBJECTIVE_S : deadlineS - estimateS);
    return job.acceptedAtMonotonic + last * 1000;
  }

  /**
   * Jobs with tasks to place, most urgent first: rank, then guarantee, then due time and age. A job's
   * due time stays once its aims are missed, and until something of it has begun it is at most
   * `BEGIN_MS` after acceptance, so no stream of newer work can keep it waiting.
   */
  queue(now: number): JobState[] {
    const { recovered } = this.state;
    const aimsOf = new Map<string, readonly number[]>();
    const open: { job: JobState; guaranteed: boolean; due: number }[] = [];
    for (const job of this.state.jobs.values()) {
      if (!isOpen(job, recovered, now)) continue;
      const { jobClass } = job.spec;
      let aims = aimsOf.get(jobClass);
      if (aims === undefined) {
        aims = this.state.settings.startObjectives(jobClass);
        aimsOf.set(jobClass, aims);
      }
      // Whoever has begun may wait for the next aim after one is missed; whoever has not keeps its
      // place, or newer work would pass it over again and again.
      const latest = hasBegun(job) ? Infinity : job.acceptedAtMonotonic + FIRST_TASK_DUE_MS;
      const due = Math.min(this.#due(job, aims, now), latest);
      job.startDeadline = due;
      open.push({ job, guaranteed: this.limits.staysWithinGuarantee(job), due });
    }
    open.sort(
      (a, b) =>
        b.job.priorityRank - a.job.priorityRank ||
        Number(b.guaranteed) - Number(a.guaranteed) ||
        a.due - b.due ||
        a.job.acceptedAt - b.job.acceptedAt ||
        (a.job.spec.uid < b.job.spec.uid ? -1 : 1),
    );
    return open.map((o) => o.job);
  }

  /** A machine is held for a job only while that job has tasks waiting. */
  #dropHolds(): void {
    for (const m of this.state.machines.values()) {
      if (m.reservation === null) continue;
      const job = this.state.jobs.get(m.reservation.uid);
      if (job === undefined || job.ended || job.waitingTasks.length === 0) m.reservation = null;
    }
  }

  /** Places what fits, in order. Returns the jobs that found no room. */
  placeAll(now: number): JobState[] {
    this.#dropHolds();
    const queue = this.queue(now);
    this.#last = null;
    if (queue.length === 0) return [];
    const least = leastOf(queue);
    const stuck = this.#place(queue, new Candidates(this.state, least, now));
    this.#last = stuck.length === 0 ? null : { stuck, least: leastOf(stuck) };
    const noRoom = new Set(stuck);
    for (const job of queue)
      job.unschedulableSince = noRoom.has(job) ? (job.unschedulableSince ?? now) : null;
    this.preemption.reserveCapacity(stuck, now);
    return stuck;
  }

  /**
   * Gives room on one machine to the jobs that found none in the last full pass. What has come to
   * wait since then is looked at in the next one, which is never far away.
   */
  placeOn(m: MachineState, now: number): void {
    if (this.#last === null || !fits(this.#last.least, m.free)) return;
    // Thousands may wait, and reports are many: what cannot fit is not looked at any further.
    const { recovered } = this.state;
    const open = this.#last.stuck.filter(
      (job) => fits(job.spec.demand, m.free) && isOpen(job, recovered, now),
    );
    const queue = this.#imagesFirst(open, m, now);
    if (queue.length > 0) this.#place(queue, new Candidates(this.state, this.#last.least, now, m));
  }

  /**
   * Exception: of arrays of the same rank those whose image the machine holds come first, since a
   * slot does nothing useful while it fetches. A job that is due, or has waited long for its first
   * task, is never passed over for that.
   */
  #imagesFirst(queue: readonly JobState[], m: MachineState, now: number): JobState[] {
    const out: JobState[] = [];
    for (let at = 0; at < queue.length;) {
      const { priorityRank: rank } = queue[at]!;
      const later: JobState[] = [];
      for (; at < queue.length && queue[at]!.priorityRank === rank; at++) {
        const job = queue[at]!;
        const patient = job.spec.kind !== 'gang' && job.startDeadline > now;
        const passed = patient && !m.images.has(job.spec.image);
        (passed ? later : out).push(job);
      }
      out.push(...later);
    }
    return out;
  }

  #place(queue: readonly JobState[], rooms: Candidates): JobState[] {
    const stuck: JobState[] = [];
    const partners = new ComplementFinder(queue, rooms.now, this.state.workCounters);
    queue.forEach((job, position) => {
      if (job.spec.kind === 'gang') {
        if (!this.#placeGang(job, rooms)) stuck.push(job);
        return;
      }
      while (placeableTasks(job, rooms.now) > 0) {
        if (this.#placeEntity(job, position, partners, rooms)) continue;
        stuck.push(job);
        return;
      }
    });
    return stuck;
  }

  /** Places the next task of the job with its complement, or alone when the pair fits nowhere. */
  #placeEntity(
    job: JobState,
    position: number,
    partners: ComplementFinder,
    rooms: Candidates,
  ): boolean {
    if (rooms.isKnownUnschedulable(job, 1)) return false;
    const room = this.limits.tasksWithinLimit(job);
    if (room < 1) return false;
    const partner = partners.complementOf(job, position);
    if (partner !== null && this.limits.tasksWithinLimit(partner) >= 1) {
      const sameTeam = partner.spec.team === job.spec.team;
      const pairLimit = !sameTeam || room >= 2 || room === Infinity;
      const both = add(job.spec.demand, partner.spec.demand);
      const m = pairLimit ? rooms.bestMachine(job, both, partner) : null;
      if (m !== null) {
        this.#start(job, m, rooms);
        this.#start(partner, m, rooms);
        return true;
      }
    }
    const m = rooms.bestMachine(job, job.spec.demand);
    if (m === null) {
      rooms.recordUnschedulable(job, 1);
      return false;
    }
    this.#start(job, m, rooms);
    return true;
  }

  #start(
    job: JobState,
    m: MachineState,
    rooms: Candidates,
    attempt = this.state.nextAttempt(),
  ): Placement {
    const p = this.state.place(job, job.waitingTasks[0]!, attempt, m, rooms.now);
    rooms.capacityTaken(m);
    return p;
  }

  /** All tasks of a gang or none: each in turn on the most matched machine. */
  #placeGang(job: JobState, rooms: Candidates): boolean {
    const tasks = job.waitingTasks.length;
    if (job.placements.size > 0 || rooms.isKnownUnschedulable(job, tasks)) return false;
    if (this.limits.tasksWithinLimit(job) < tasks) return false;
    const zones = job.spec.oneZone ? rooms.zones : [null];
    for (const zone of zones) {
      if (!rooms.hasSlots(job, tasks, zone)) continue;
      const attempt = this.state.nextAttempt();
      const placed: Placement[] = [];
      const holds = new Map<MachineState, MachineState['reservation']>();
      while (job.waitingTasks.length > 0) {
        const m = rooms.bestMachine(job, job.spec.demand, null, zone);
        if (m === null) break;
        if (!holds.has(m)) holds.set(m, m.reservation);
        placed.push(this.#start(job, m, rooms, attempt));
      }
      if (job.waitingTasks.length === 0) return true;
      this.#takeBack(job, placed, rooms);
      for (const [m, hold] of holds) m.reservation = hold;
    }
    rooms.recordUnschedulable(job, tasks);
    return false;
  }

  /** Not all fit: what was only noted down is taken back; no order has left yet. */
  #takeBack(job: JobState, placed: readonly Placement[], rooms: Candidates): void {
    for (const p of placed) {
      p.machine.tasks.delete(taskKey(job.spec.uid, p.index));
      job.placements.delete(p.index);
      job.waitingTasks.push(p.index);
      this.state.updateFreeCapacity(p.machine, p.machine.idleSince);
      rooms.capacityReturned(p.machine);
    }
    job.waitingTasks.sort((a, b) => a - b);
  }
}

/** It has tasks to place, and none of its tasks can still be running by an earlier owner's order. */
const isOpen = (job: JobState, recovered: boolean, now: number): boolean =>
  (recovered || job.inheritedTasks.size === 0) && placeableTasks(job, now) > 0;

/** Some task of it is or was on a machine. */
const hasBegun = (job: JobState): boolean =>
  job.placements.size + job.savedCompletions.size + job.unsavedCompletions.size > 0;

/** What every job of the queue asks for at least. */
const leastOf = (queue: readonly JobState[]): Resources => {
  const least = { ...queue[0]!.spec.demand };
  for (const { spec } of queue) {
    for (const k of RESOURCE_KINDS) least[k] = Math.min(least[k], spec.demand[k]);
  }
  return least;
};
