import { NO_AIM_S } from '../constants.js';
import { allowed } from './allowed.js';
import type { Books, JobState, MachineState, Placement } from './books.js';
import type { Limits } from './limits.js';
import { add, fits, shareOf, type Resources } from './model.js';
import { taskKey } from './books.js';
import { complement, type TaskGroup } from './pairing.js';
import { mostMatched } from './placement.js';
import type { Preemption } from './preemption.js';

/** The queue of a part, and where its tasks go. */
export class Placing {
  constructor(
    private readonly books: Books,
    private readonly limits: Limits,
    private readonly preemption: Preemption,
  ) {}

  /** Steady ms by which the job's tasks should start: its first aim that can still be met. */
  #due(job: JobState, now: number): number {
    const aims = this.books.settings.startWithin(job.spec.jobClass);
    for (const within of aims) {
      const due = job.seenAt + within * 1000;
      if (due >= now) return due;
    }
    const { deadlineS, estimateS } = job.spec;
    const last = aims.at(-1) ?? (deadlineS === null ? NO_AIM_S : deadlineS - estimateS);
    return job.seenAt + last * 1000;
  }

  /** Jobs with tasks to place, most urgent first: rank, then guarantee, then due time and age. */
  queue(now: number): JobState[] {
    const rebuilt = this.books.rebuilt;
    const open: { job: JobState; guaranteed: boolean; due: number }[] = [];
    for (const job of this.books.jobs.values()) {
      if (job.over || job.waiting.length === 0 || job.broken || job.pausedUntil > now) continue;
      if (!rebuilt && job.inherited.size > 0) continue;
      open.push({ job, guaranteed: this.limits.guaranteed(job), due: this.#due(job, now) });
    }
    open.sort(
      (a, b) =>
        b.job.rank - a.job.rank ||
        Number(b.guaranteed) - Number(a.guaranteed) ||
        a.due - b.due ||
        a.job.acceptedAt - b.job.acceptedAt ||
        (a.job.spec.uid < b.job.spec.uid ? -1 : 1),
    );
    return open.map((o) => o.job);
  }

  /** A machine is held for a job only while that job has tasks waiting. */
  #dropHolds(): void {
    for (const m of this.books.machines.values()) {
      if (m.hold === null) continue;
      const job = this.books.jobs.get(m.hold.uid);
      if (job === undefined || job.over || job.waiting.length === 0) m.hold = null;
    }
  }

  /** Places what fits, in order. Returns the jobs that found no room. */
  placeAll(now: number): JobState[] {
    this.#dropHolds();
    const queue = this.queue(now);
    const stuck: JobState[] = [];
    queue.forEach((job, position) => {
      if (job.spec.kind === 'gang') {
        if (!this.#placeGang(job, now)) stuck.push(job);
        return;
      }
      const rest = queue.slice(position + 1);
      while (job.waiting.length > 0) {
        if (!this.#placeEntity(job, rest, now)) {
          stuck.push(job);
          return;
        }
      }
    });
    const noRoom = new Set(stuck);
    for (const job of queue) job.stuckSince = noRoom.has(job) ? (job.stuckSince ?? now) : null;
    if (this.books.settings.preempt) for (const job of stuck) this.preemption.makeRoom(job, now);
    return stuck;
  }

  /** Places the next task of the job with its complement, or alone when the pair fits nowhere. */
  #placeEntity(job: JobState, rest: readonly JobState[], now: number): boolean {
    const room = this.limits.underLimit(job);
    if (room < 1) return false;
    const groups: TaskGroup<JobState>[] = [];
    for (const other of rest) {
      if (other.spec.kind === 'gang' || other.waiting.length === 0) continue;
      const share = shareOf(other.spec.demand, this.books.largest);
      groups.push({ item: other, share, count: other.waiting.length });
    }
    const partner = complement(shareOf(job.spec.demand, this.books.largest), groups)?.item;
    if (partner !== undefined && this.limits.underLimit(partner) >= 1) {
      const sameTeam = partner.spec.team === job.spec.team;
      const pairLimit = !sameTeam || room >= 2 || room === Infinity;
      const both = add(job.spec.demand, partner.spec.demand);
      const m = pairLimit ? this.#best(job, both, now, partner) : null;
      if (m !== null) {
        this.#start(job, m, now);
        this.#start(partner, m, now);
        return true;
      }
    }
    const m = this.#best(job, job.spec.demand, now);
    if (m === null) return false;
    this.#start(job, m, now);
    return true;
  }

  #best(job: JobState, demand: Resources, now: number, partner?: JobState): MachineState | null {
    const candidates: { name: string; free: Resources; hasImage: boolean; m: MachineState }[] = [];
    for (const m of this.books.machines.values()) {
      if (!fits(demand, m.free) || !allowed(this.books, m, job, now)) continue;
      if (partner !== undefined && !allowed(this.books, m, partner, now)) continue;
      const hasImage = m.images.has(job.spec.image);
      candidates.push({ name: m.record.name, free: m.free, hasImage, m });
    }
    // Exception: fetching an image takes longer than the aims for starts allow, and the slot does
    // nothing useful meanwhile. Machines that hold it come first; the volume decides among them.
    const held = candidates.filter((c) => c.hasImage);
    return mostMatched(held.length > 0 ? held : candidates, this.books.largest)?.m ?? null;
  }

  #start(
    job: JobState,
    m: MachineState,
    now: number,
    attempt = this.books.nextAttempt(),
  ): Placement {
    return this.books.place(job, job.waiting[0]!, attempt, m, now);
  }

  /** All tasks of a gang or none: each in turn on the most matched machine. */
  #placeGang(job: JobState, now: number): boolean {
    if (job.placed.size > 0 || this.limits.underLimit(job) < job.waiting.length) return false;
    const attempt = this.books.nextAttempt();
    const zones = job.spec.oneZone ? this.#zones() : [null];
    for (const zone of zones) {
      const placed: Placement[] = [];
      while (job.waiting.length > 0) {
        const m = this.#bestInZone(job, zone, now);
        if (m === null) break;
        placed.push(this.#start(job, m, now, attempt));
      }
      if (job.waiting.length === 0) return true;
      // Not all fit: take back what was only noted down; no order has left yet.
      for (const p of placed) {
        p.machine.tasks.delete(taskKey(job.spec.uid, p.index));
        job.placed.delete(p.index);
        job.waiting.push(p.index);
        this.books.recount(p.machine, p.machine.idleSince);
      }
      job.waiting.sort((a, b) => a - b);
    }
    return false;
  }

  #bestInZone(job: JobState, zone: string | null, now: number): MachineState | null {
    const m = this.#best(job, job.spec.demand, now);
    if (zone === null || m === null || m.record.zone === zone) return m;
    const candidates = [...this.books.machines.values()]
      .filter((c) => c.record.zone === zone && fits(job.spec.demand, c.free))
      .filter((c) => allowed(this.books, c, job, now))
      .map((c) => ({ name: c.record.name, free: c.free, m: c }));
    return mostMatched(candidates, this.books.largest)?.m ?? null;
  }

  #zones(): string[] {
    return [...new Set([...this.books.machines.values()].map((m) => m.record.zone))].sort();
  }
}
