import { HOLD_MS } from '../constants.js';
import { allowed } from './allowed.js';
import type { Books, JobState, MachineState, Placement } from './books.js';
import type { Limits } from './limits.js';
import { add, dominantShare, fits, type JobSpec } from './model.js';

/** Work that is stopped to make room for work of a higher rank or within a guarantee. */
export class Preemption {
  constructor(
    private readonly books: Books,
    private readonly limits: Limits,
  ) {}

  /** May `victim` be stopped for `job`: lower rank, or beyond its team's guarantee for one within. */
  #mayPreempt(job: JobState, victim: Placement): boolean {
    if (victim.job.rank < job.rank) return true;
    return (
      victim.job.spec.team !== job.spec.team &&
      this.limits.guaranteed(job) &&
      this.limits.beyondGuarantee(victim.job.spec.team)
    );
  }

  /** Seconds of work lost when a task is stopped now, and the seconds until it is gone. */
  #loss(p: Placement, now: number): number {
    const ran = p.runningSince === null ? 0 : (now - p.runningSince) / 1000;
    const { checkpointS, saveS } = p.job.spec;
    return checkpointS > 0 ? saveS : ran;
  }

  /** Stops the least costly lower work on one machine for each task of the job that has no room. */
  makeRoom(job: JobState, now: number): void {
    if (this.limits.underLimit(job) < 1) return;
    let open = job.spec.kind === 'gang' ? job.waiting.length : Math.min(job.waiting.length, 1);
    for (const m of this.books.machines.values()) if (m.hold?.uid === job.spec.uid) open -= 1;
    while (open > 0) {
      let best: { m: MachineState; victims: Placement[]; loss: number } | null = null;
      for (const m of this.books.machines.values()) {
        if (m.hold !== null || !allowed(this.books, m, job, now)) continue;
        const found = this.#victims(m, job, now);
        if (found === null) continue;
        const loss = found.loss + this.#fetchS(m, job.spec);
        if (best === null || loss < best.loss) best = { m, victims: found.victims, loss };
      }
      if (best === null) return;
      best.m.hold = { uid: job.spec.uid, until: now + HOLD_MS };
      for (const p of best.victims) this.books.requestStop(p, p.job.spec.saveS + 1, now);
      open -= 1;
    }
  }

  /** Seconds until the machine has the job's image. */
  #fetchS(m: MachineState, spec: JobSpec): number {
    return m.images.has(spec.image) ? 0 : spec.imageGb / (m.type?.fetchGbPerS ?? 1);
  }

  #victims(
    m: MachineState,
    job: JobState,
    now: number,
  ): { victims: Placement[]; loss: number } | null {
    let free = m.free;
    let loss = 0;
    const victims: Placement[] = [];
    const options = [...m.tasks.values()]
      .filter((p) => this.#mayPreempt(job, p))
      .sort((a, b) => this.#loss(a, now) - this.#loss(b, now));
    for (const p of options) {
      if (fits(job.spec.demand, free)) break;
      free = add(free, p.job.spec.demand);
      if (p.stop === null) {
        victims.push(p);
        // In seconds of the whole machine, like the fetch that it is weighed against.
        loss += this.#loss(p, now) * dominantShare(p.job.spec.demand, m.type ?? this.books.largest);
      }
    }
    return fits(job.spec.demand, free) ? { victims, loss } : null;
  }
}
