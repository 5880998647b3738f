import { satisfiesConstraints } from './constraints.js';
import type { JobState, MachineState } from '../shard/types.js';
import type { ShardState } from '../shard/shard-state.js';
import { fits, fitCount, type Resources } from '../model.js';
import { UnusedVolumeIndex } from './unused-volume-index.js';

const replicasOn = (m: MachineState, job: JobState): number => {
  let count = 0;
  for (const p of job.placements.values()) if (p.machine === m) count += 1;
  return count;
};

/**
 * The machines that could take anything of a queue, for one pass over it. The choice among them is
 * the same as among all machines: those left out could take nothing. What a job could not get, a job
 * of the same kind that asks for no less cannot get later in the pass, since room only shrinks.
 */
export class Candidates {
  readonly #machines: UnusedVolumeIndex;
  /** of these, the ones that hold an image, for the images that were asked for */
  readonly #holding = new Map<string, UnusedVolumeIndex>();
  readonly #held = new Set<string>();
  /** zones of these machines, by name */
  readonly zones: readonly string[];
  readonly #failed = new Map<string, { demand: Resources; tasks: number }[]>();

  constructor(
    private readonly state: ShardState,
    private readonly least: Resources,
    readonly now: number,
    /** one machine only: what else had room was offered to the queue before */
    only: MachineState | null = null,
  ) {
    const usable: MachineState[] = [];
    const zones = new Set<string>();
    for (const m of only === null ? state.machines.values() : [only]) {
      if (!fits(least, m.free) || !state.health.isSchedulable(m, now)) continue;
      usable.push(m);
      if (m.reservation !== null) this.#held.add(m.reservation.uid);
      zones.add(m.record.zone);
    }
    this.zones = [...zones].sort();
    this.#machines = new UnusedVolumeIndex(usable, state.largestCapacity);
  }

  get isEmpty(): boolean {
    return this.#machines.size === 0;
  }

  /** True if the pass has shown already that there is no room for the job. */
  isKnownUnschedulable(job: JobState, tasks: number): boolean {
    if (this.isEmpty) return true;
    if (this.#held.has(job.spec.uid)) return false;
    const failed = this.#failed.get(job.constraintKey);
    const { demand } = job.spec;
    return failed?.some((f) => f.tasks <= tasks && fits(f.demand, demand)) ?? false;
  }

  /** Notes that the job found no room, for reasons that hold for others as well. */
  recordUnschedulable(job: JobState, tasks: number): void {
    // What one of them could not get for reasons of its own, others may.
    if (job.avoidedMachines.size > 0) return;
    if (job.placements.size > 0 && (job.spec.oneZone || job.spec.spread)) return;
    const list = this.#failed.get(job.constraintKey) ?? [];
    list.push({ demand: job.spec.demand, tasks });
    this.#failed.set(job.constraintKey, list);
  }

  /** Whether so many tasks of the job fit, in the zone if one is given; no more is counted than that. */
  hasSlots(job: JobState, tasks: number, zone: string | null): boolean {
    const { demand } = job.spec;
    let slots = 0;
    for (const m of this.#machines.mostUnusedFirst(demand)) {
      this.state.workCounters.machinesVisited += 1;
      if (zone !== null && m.record.zone !== zone) continue;
      if (!fits(demand, m.free) || !satisfiesConstraints(m, job, this.now)) continue;
      slots += fitCount(demand, m.free);
      if (slots >= tasks) return true;
    }
    return false;
  }

  /**
   * The most matched machine for the demand: least unused volume, then the name. Exceptions: fetching
   * an image takes longer than the aims for starts allow, and the slot does nothing useful meanwhile,
   * so machines that hold it come first. And one machine's loss should leave half of a service, and
   * rather more, so machines with fewer of its replicas come first.
   */
  bestMachine(
    job: JobState,
    demand: Resources,
    partner: JobState | null = null,
    zone: string | null = null,
  ): MachineState | null {
    const takes = (m: MachineState): boolean => {
      this.state.workCounters.machinesVisited += 1;
      if (zone !== null && m.record.zone !== zone) return false;
      if (!fits(demand, m.free) || !satisfiesConstraints(m, job, this.now)) return false;
      return partner === null || satisfiesConstraints(m, partner, this.now);
    };
    if (job.spec.kind === 'service') return this.#fewestReplicas(job, demand, takes);
    return this.#leastUnused(job.spec.image, demand, takes);
  }

  #leastUnused(
    image: string,
    demand: Resources,
    takes: (m: MachineState) => boolean,
  ): MachineState | null {
    const holding = this.#machinesHolding(image).leastUnused(demand, takes);
    return holding ?? this.#machines.leastUnused(demand, takes);
  }

  #machinesHolding(image: string): UnusedVolumeIndex {
    let holding = this.#holding.get(image);
    if (holding === undefined) {
      const machines = [...this.#machines.machines()].filter((m) => m.images.has(image));
      holding = new UnusedVolumeIndex(machines, this.state.largestCapacity);
      this.#holding.set(image, holding);
    }
    return holding;
  }

  /** Machines with less than half of the replicas first, then those that hold the image, then by count. */
  #fewestReplicas(
    job: JobState,
    demand: Resources,
    takes: (m: MachineState) => boolean,
  ): MachineState | null {
    const { image, tasks } = job.spec;
    const half = Math.ceil(tasks / 2);
    let ranked: { group: readonly number[]; machines: MachineState[] } | null = null;
    for (const m of this.#machines.machines()) {
      if (!takes(m)) continue;
      const replicas = replicasOn(m, job);
      const group = [Number(replicas >= half), Number(!m.images.has(image)), replicas];
      const order = ranked === null ? -1 : compareInOrder(group, ranked.group);
      if (ranked === null || order < 0) ranked = { group, machines: [m] };
      else if (order === 0) ranked.machines.push(m);
    }
    if (ranked === null) return null;
    return new UnusedVolumeIndex(ranked.machines, this.state.largestCapacity).leastUnused(
      demand,
      () => true,
    );
  }

  /** After something was placed on the machine. */
  capacityTaken(m: MachineState): void {
    this.#update(m, fits(this.least, m.free));
  }

  /** After something was taken back from the machine. */
  capacityReturned(m: MachineState): void {
    this.#update(m, true);
  }

  #update(m: MachineState, stays: boolean): void {
    const orders = [this.#machines];
    for (const [image, order] of this.#holding) if (m.images.has(image)) orders.push(order);
    for (const order of orders) {
      if (stays) order.put(m);
      else order.remove(m);
    }
  }
}

/** Compares the first members that differ. */
const compareInOrder = (a: readonly number[], b: readonly number[]): number => {
  for (const [i, value] of a.entries()) {
    const difference = value - (b[i] ?? 0);
    if (difference !== 0) return difference;
  }
  return 0;
};
