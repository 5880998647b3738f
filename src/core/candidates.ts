import { EQUAL_VOLUME } from '../constants.js';
import { satisfiesConstraints } from './constraints.js';
import type { JobState, MachineState } from './part-records.js';
import type { PartState } from './part-state.js';
import { fits, timesIn, type Resources } from './model.js';
import { unusedVolume } from './placement.js';

interface Choice {
  readonly m: MachineState;
  /** half of the service's replicas are there already */
  readonly crowded: boolean;
  readonly held: boolean;
  readonly replicas: number;
  readonly volume: number;
}

const isBetter = (a: Choice, b: Choice): boolean => {
  if (a.crowded !== b.crowded) return !a.crowded;
  if (a.held !== b.held) return a.held;
  if (a.replicas !== b.replicas) return a.replicas < b.replicas;
  if (Math.abs(a.volume - b.volume) > EQUAL_VOLUME) return a.volume < b.volume;
  return a.m.record.name < b.m.record.name;
};

const replicasOn = (m: MachineState, job: JobState): number => {
  let count = 0;
  for (const p of job.placed.values()) if (p.machine === m) count += 1;
  return count;
};

/**
 * The machines that could take anything of a queue, for one pass over it. The choice among them is
 * the same as among all machines: those left out could take nothing. What a job could not get, a job
 * of the same kind that asks for no less cannot get later in the pass, since room only shrinks.
 */
export class Candidates {
  readonly #rooms: MachineState[];
  readonly #held = new Set<string>();
  readonly #failed = new Map<string, { demand: Resources; tasks: number }[]>();

  constructor(
    private readonly state: PartState,
    private readonly least: Resources,
    readonly now: number,
    /** one machine only: what else had room was offered to the queue before */
    only: MachineState | null = null,
  ) {
    const machines = only === null ? state.machines.values() : [only];
    this.#rooms = [];
    for (const m of machines) {
      if (!fits(least, m.free) || !state.health.usable(m, now)) continue;
      this.#rooms.push(m);
      if (m.hold !== null) this.#held.add(m.hold.uid);
    }
  }

  get empty(): boolean {
    return this.#rooms.length === 0;
  }

  /** Everything about a job, besides its size, that decides where it may go. */
  #kind(job: JobState): string {
    const { types, zone, spot, oneZone, spread } = job.spec;
    const gang = job.spec.kind === 'gang';
    return `${types?.join() ?? '*'} ${zone ?? '*'} ${spot} ${oneZone} ${spread} ${gang}`;
  }

  /** True if the pass has shown already that there is no room for the job. */
  hopeless(job: JobState, tasks: number): boolean {
    if (this.#rooms.length === 0) return true;
    if (this.#held.has(job.spec.uid)) return false;
    const failed = this.#failed.get(this.#kind(job));
    const { demand } = job.spec;
    return failed?.some((f) => f.tasks <= tasks && fits(f.demand, demand)) ?? false;
  }

  /** Notes that the job found no room, for reasons that hold for others as well. */
  noRoom(job: JobState, tasks: number): void {
    if (job.avoid.size > 0 || job.placed.size > 0) return;
    const kind = this.#kind(job);
    const list = this.#failed.get(kind) ?? [];
    list.push({ demand: job.spec.demand, tasks });
    this.#failed.set(kind, list);
  }

  /** How many tasks of the job fit in all, zone by zone if it must be one. */
  slots(job: JobState): Map<string, number> {
    const out = new Map<string, number>();
    for (const m of this.#rooms) {
      if (!fits(job.spec.demand, m.free) || !satisfiesConstraints(m, job, this.now)) continue;
      const zone = job.spec.oneZone ? m.record.zone : '';
      out.set(zone, (out.get(zone) ?? 0) + timesIn(job.spec.demand, m.free));
    }
    return out;
  }

  /**
   * The most matched machine for the demand: least unused volume, then the name. Exceptions: fetching
   * an image takes longer than the aims for starts allow, and the slot does nothing useful meanwhile,
   * so machines that hold it come first. And one machine's loss should leave half of a service, and
   * rather more, so machines with fewer of its replicas come first.
   */
  best(
    job: JobState,
    demand: Resources,
    partner: JobState | null = null,
    zone: string | null = null,
  ): MachineState | null {
    const { image, kind, tasks } = job.spec;
    let best: Choice | null = null;
    for (const m of this.#rooms) {
      if (zone !== null && m.record.zone !== zone) continue;
      if (!fits(demand, m.free) || !satisfiesConstraints(m, job, this.now)) continue;
      if (partner !== null && !satisfiesConstraints(m, partner, this.now)) continue;
      const held = m.images.has(image);
      const service = kind === 'service';
      // Most machines are out of it by this alone, and there are hundreds of them.
      if (!service && best?.held === true && !held) continue;
      const replicas = service ? replicasOn(m, job) : 0;
      const choice: Choice = {
        m,
        crowded: service && replicas >= Math.ceil(tasks / 2),
        held,
        replicas,
        volume: unusedVolume(m.free, this.state.largest),
      };
      if (best === null || isBetter(choice, best)) best = choice;
    }
    return best?.m ?? null;
  }

  /** After something was placed on the machine. */
  taken(m: MachineState): void {
    if (fits(this.least, m.free)) return;
    const at = this.#rooms.indexOf(m);
    if (at >= 0) this.#rooms.splice(at, 1);
  }

  /** After something was taken back from the machine. */
  givenBack(m: MachineState): void {
    if (!this.#rooms.includes(m)) this.#rooms.push(m);
  }
}
