import {
  PARTIAL_RESERVATION_SHARE,
  RESERVATION_TTL_MS,
  MAX_RESERVATION_ATTEMPTS,
} from './constants.js';
import { isFeasible } from '../placement/constraints.js';
import type { JobState, MachineState, Placement } from '../shard/types.js';
import type { ShardState } from '../shard/shard-state.js';
import type { Quotas } from '../placement/quotas.js';
import { add, dominantShare, fits, fitCount, type JobSpec, type Resources } from '../model.js';

/** A machine that could take tasks of a job, at once or after stopping others. */
interface Option {
  readonly m: MachineState;
  readonly slots: number;
  readonly victims: readonly Placement[];
  /** seconds of the whole machine that are lost until the job runs there */
  readonly loss: number;
}

/**
 * Room for jobs that found none: work of a lower rank, or beyond a guarantee, is stopped, and machines
 * are held for gangs until all their tasks fit.
 */
export class Preemption {
  constructor(
    private readonly state: ShardState,
    private readonly limits: Quotas,
  ) {}

  /**
   * For the jobs that found no room, in the queue's order. The first gangs collect machines without
   * having enough in sight: so every gang gets its machines at some time, however many smaller jobs
   * there are. One gang always may, more of them only on a small share of the shard's machines.
   */
  reserveCapacity(stuck: readonly JobState[], now: number): void {
    const collecting = new Set<string>();
    let left = Math.floor(this.state.machines.size * PARTIAL_RESERVATION_SHARE);
    let tries = 0;
    const lowest = this.#lowestRank();
    for (const job of stuck) {
      if (tries >= MAX_RESERVATION_ATTEMPTS) break;
      if (this.limits.tasksWithinLimit(job) < 1) continue;
      const mayStop =
        this.state.settings.preempt &&
        (job.priorityRank > lowest || this.limits.staysWithinGuarantee(job));
      if (job.spec.kind !== 'gang') {
        if (!mayStop) continue;
        tries += 1;
        this.#reserve(job, 1, mayStop, now);
      } else if (job.placements.size === 0 && (mayStop || collecting.size === 0 || left > 0)) {
        tries += 1;
        const enough = this.#reserve(job, job.waitingTasks.length, mayStop, now);
        if (enough || (collecting.size > 0 && left <= 0)) continue;
        collecting.add(job.spec.uid);
        left -= this.#collect(job, now);
      }
    }
    for (const m of this.state.machines.values()) {
      if (m.reservation?.partial === true && !collecting.has(m.reservation.uid))
        m.reservation = null;
    }
  }

  #lowestRank(): number {
    let lowest = Infinity;
    for (const job of this.state.jobs.values()) {
      if (job.placements.size > 0) lowest = Math.min(lowest, job.priorityRank);
    }
    return lowest;
  }

  /** May `victim` be stopped for `job`: lower rank, or beyond its team's guarantee for one within. */
  #mayPreempt(job: JobState, victim: Placement): boolean {
    if (victim.job.priorityRank < job.priorityRank) return true;
    return (
      victim.job.spec.team !== job.spec.team &&
      this.limits.staysWithinGuarantee(job) &&
      this.limits.exceedsGuarantee(victim.job.spec.team)
    );
  }

  /** Seconds of work lost when a task is stopped now; with it all of its gang stops. */
  #loss(p: Placement, now: number): number {
    const ran = p.runningSince === null ? 0 : (now - p.runningSince) / 1000;
    const { checkpointS, saveS, kind } = p.job.spec;
    const tasks = kind === 'gang' ? p.job.placements.size : 1;
    return (checkpointS > 0 ? saveS : ran) * tasks;
  }

  /**
   * Holds machines for so many tasks of the job, those where least is lost, and stops what is in the
   * way. False, and nothing held anew, if there are not enough machines for it.
   */
  #reserve(job: JobState, tasks: number, mayStop: boolean, now: number): boolean {
    const { uid } = job.spec;
    const held = [...this.state.machines.values()].filter((m) => m.reservation?.uid === uid);
    const firm = held.filter((m) => m.reservation?.partial !== true);
    let open = tasks;
    for (const m of firm) open -= fitCount(job.spec.demand, this.#freeAfterStops(m));
    if (open <= 0) return true;
    const zone = job.spec.oneZone ? (firm[0]?.record.zone ?? null) : null;
    const options: Option[] = [];
    for (const m of this.state.machines.values()) {
      if (firm.includes(m) || (zone !== null && m.record.zone !== zone)) continue;
      const option = isFeasible(this.state, m, job, now)
        ? this.#option(m, job, mayStop, now)
        : null;
      if (option !== null) options.push(option);
    }
    const usable = job.spec.oneZone && zone === null ? inOneZone(options, open) : options;
    if (usable.reduce((sum, o) => sum + o.slots, 0) < open) return false;
    usable.sort((a, b) => a.loss - b.loss);
    for (const o of usable) {
      if (open <= 0) break;
      o.m.reservation = { uid, until: now + RESERVATION_TTL_MS, partial: false };
      for (const p of o.victims) this.state.requestStop(p, p.job.spec.saveS + 1, now);
      open -= o.slots;
    }
    return true;
  }

  /**
   * Holds machines for a gang that cannot have enough yet: those that are free, then those that will
   * be soonest, so that nothing new starts there and they run empty. All in one zone if it must be.
   */
  #collect(job: JobState, now: number): number {
    const { uid, oneZone, demand } = job.spec;
    const options: (Option & { readonly held: boolean })[] = [];
    for (const m of this.state.machines.values()) {
      if (m.type === null || !fits(demand, m.type) || !isFeasible(this.state, m, job, now))
        continue;
      const free = fits(demand, m.free);
      const slots = fitCount(demand, free ? m.free : m.type);
      const loss = free ? 0 : this.#busyS(m, now);
      options.push({ m, slots, victims: [], loss, held: m.reservation?.uid === uid });
    }
    const held = options.filter((o) => o.held);
    const zone = oneZone ? (held[0]?.m.record.zone ?? null) : null;
    const usable = oneZone
      ? zone === null
        ? inOneZone(options, job.waitingTasks.length)
        : options.filter((o) => o.m.record.zone === zone)
      : options;
    // What is held already stays so: changing over would start anew each time.
    usable.sort((x, y) => Number(y.held) - Number(x.held) || x.loss - y.loss);
    let open = job.waitingTasks.length;
    let machines = 0;
    for (const o of usable) {
      if (open <= 0) break;
      o.m.reservation = { uid, until: now + RESERVATION_TTL_MS, partial: true };
      open -= o.slots;
      machines += 1;
    }
    return machines;
  }

  /** Seconds until what runs there has ended, by the owners' estimates. */
  #busyS(m: MachineState, now: number): number {
    let longest = 0;
    for (const p of m.tasks.values()) {
      const ranS = p.runningSince === null ? 0 : (now - p.runningSince) / 1000;
      longest = Math.max(longest, p.job.spec.estimateS - ranS);
    }
    return longest;
  }

  #freeAfterStops(m: MachineState): Resources {
    let free = m.free;
    for (const p of m.tasks.values()) if (p.stop !== null) free = add(free, p.job.spec.demand);
    return free;
  }

  /** Seconds until the machine has the job's image. */
  #fetchS(m: MachineState, spec: JobSpec): number {
    return m.images.has(spec.image) ? 0 : spec.imageGb / (m.type?.fetchGbPerS ?? 1);
  }

  #option(m: MachineState, job: JobState, mayStop: boolean, now: number): Option | null {
    const { demand } = job.spec;
    const fetchS = this.#fetchS(m, job.spec);
    if (fits(demand, m.free)) {
      return { m, slots: fitCount(demand, m.free), victims: [], loss: fetchS };
    }
    if (!mayStop) return null;
    let free = m.free;
    let loss = fetchS;
    const victims: Placement[] = [];
    const candidates = [...m.tasks.values()]
      .filter((p) => this.#mayPreempt(job, p))
      .sort((a, b) => this.#loss(a, now) - this.#loss(b, now));
    for (const p of candidates) {
      if (fits(demand, free)) break;
      free = add(free, p.job.spec.demand);
      if (p.stop === null) {
        victims.push(p);
        // In seconds of the whole machine, like the fetch that it is weighed against.
        loss +=
          this.#loss(p, now) *
          dominantShare(p.job.spec.demand, m.type ?? this.state.largestCapacity);
      }
    }
    return fits(demand, free) ? { m, slots: 1, victims, loss } : null;
  }
}

/** The options of the zone with most slots; of zones with enough, the one with the least loss. */
const inOneZone = <O extends Option>(options: readonly O[], needed: number): O[] => {
  const zones = new Map<string, { options: O[]; slots: number; loss: number }>();
  for (const o of options) {
    const z = zones.get(o.m.record.zone) ?? { options: [], slots: 0, loss: 0 };
    z.options.push(o);
    z.slots += o.slots;
    z.loss += o.loss;
    zones.set(o.m.record.zone, z);
  }
  const ranked = [...zones].sort(([nameA, a], [nameB, b]) => {
    const enough = Number(b.slots >= needed) - Number(a.slots >= needed);
    const mean = a.loss / a.options.length - b.loss / b.options.length;
    return enough || (a.slots >= needed ? mean : b.slots - a.slots) || (nameA < nameB ? -1 : 1);
  });
  return ranked[0]?.[1].options ?? [];
};
