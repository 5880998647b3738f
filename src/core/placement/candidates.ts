/** Choice of a machine for a task or a pair of tasks within one scheduling pass. */
import { MAX_PLACEMENTS_PER_PASS } from './constants.js';
import { satisfiesConstraints } from './constraints.js';
import { tasksAllowedInZone } from './zones.js';
import type { JobState, MachineState } from '../shard/types.js';
import type { ShardState } from '../shard/shard-state.js';
import { fits, type Resources } from '../model.js';
import { hasCapacityFor, tasksPlaceableOn } from './machine-capacity.js';
import { ReplicaSpreading } from './replica-spreading.js';
import { UnusedVolumeIndex } from './unused-volume-index.js';

/**
 * The candidate machines of one scheduling pass: the schedulable machines that have free capacity for at least the
 * smallest demand in the queue. Every other machine would be infeasible for every job, so the choice is the same as
 * among all machines.
 *
 * A job that could not be placed is remembered: within a pass free capacity only shrinks, so a job with the same
 * constraints and no smaller demand cannot be placed later in the pass either.
 */
export class Candidates {
  readonly #machines: UnusedVolumeIndex;
  /** candidates that hold an image, by image, for the images asked for so far */
  readonly #machinesByImage = new Map<string, UnusedVolumeIndex>();
  /** uids of the jobs for which a candidate is reserved */
  readonly #reservedUids = new Set<string>();
  /** the candidates in the order for the service that was placed last; null if none was */
  #replicaSpreading: ReplicaSpreading | null = null;
  /** zones of the candidates, sorted by name */
  readonly zones: readonly string[];
  /** demand and number of tasks of jobs that could not be placed in this pass, by `constraintKey` */
  readonly #unschedulable = new Map<string, { demand: Resources; tasks: number }[]>();
  #placedTasks = 0;

  constructor(
    private readonly state: ShardState,
    /** minimum of the demands in the queue, resource by resource */
    private readonly minimumDemand: Resources,
    readonly now: number,
    /** the only machine to consider, or null for all machines of the shard */
    singleMachine: MachineState | null = null,
  ) {
    const usable: MachineState[] = [];
    const zones = new Set<string>();
    for (const machine of singleMachine === null ? state.machines.values() : [singleMachine]) {
      if (!hasCapacityFor(machine, minimumDemand) || !state.health.isSchedulable(machine, now))
        continue;
      usable.push(machine);
      if (machine.reservation !== null) this.#reservedUids.add(machine.reservation.uid);
      zones.add(machine.record.zone);
    }
    this.zones = [...zones].sort();
    this.#machines = new UnusedVolumeIndex(usable, state.largestCapacity);
  }

  get isEmpty(): boolean {
    return this.#machines.size === 0;
  }

  /** Returns whether this pass has already shown that so many tasks of the job cannot be placed. */
  isKnownUnschedulable(job: JobState, tasks: number): boolean {
    if (this.isEmpty) return true;
    if (this.#reservedUids.has(job.spec.uid)) return false;
    const unschedulable = this.#unschedulable.get(job.constraintKey);
    const { demand } = job.spec;
    return (
      unschedulable?.some((failed) => failed.tasks <= tasks && fits(failed.demand, demand)) ?? false
    );
  }

  /**
   * Records that so many tasks of the job could not be placed, unless the cause may lie in the state of this job, which
   * says nothing about other jobs: machines that it avoids, or zones that its placed tasks rule out.
   */
  recordUnschedulable(job: JobState, tasks: number): void {
    if (job.avoidedMachines.size > 0) return;
    if (job.placements.size > 0 && (job.spec.oneZone || job.spec.spread)) return;
    const failed = this.#unschedulable.get(job.constraintKey) ?? [];
    failed.push({ demand: job.spec.demand, tasks });
    this.#unschedulable.set(job.constraintKey, failed);
  }

  /**
   * Returns whether the feasible machines, of the zone if one is given, have free capacity for so many tasks of the
   * job. The search ends as soon as they have.
   */
  hasSlots(job: JobState, tasks: number, zone: string | null): boolean {
    const { demand } = job.spec;
    const slotsByZone = new Map<string, number>();
    let slots = 0;
    for (const machine of this.#machines.mostUnusedFirst(demand)) {
      this.state.workCounters.machinesVisited += 1;
      const machineZone = machine.record.zone;
      if (zone !== null && machineZone !== zone) continue;
      if (!hasCapacityFor(machine, demand) || !satisfiesConstraints(machine, job, this.now))
        continue;
      const slotsInZone = slotsByZone.get(machineZone) ?? 0;
      const allowed = tasksAllowedInZone(job, machineZone) - slotsInZone;
      const added = Math.min(tasksPlaceableOn(machine, job), allowed);
      slotsByZone.set(machineZone, slotsInZone + added);
      slots += added;
      if (slots >= tasks) return true;
    }
    return false;
  }

  /**
   * Returns the feasible machine that fits the demand best, or null: the one with the least unused volume, then the
   * first by name. `demand` is that of the job, or of the job and its partner together if one is given. Two rules come
   * before the volume:
   *
   * - Machines that hold the image come first, since fetching it takes longer than the objectives for starts allow and
   *   the slot does nothing useful meanwhile.
   * - For a service, machines with fewer replicas come first, since the loss of one machine should leave at least half
   *   of the replicas and preferably more.
   */
  bestMachine(
    job: JobState,
    demand: Resources,
    partner: JobState | null = null,
    zone: string | null = null,
  ): MachineState | null {
    const tasks = partner === null ? 1 : 2;
    const accepts = (machine: MachineState): boolean => {
      this.state.workCounters.machinesVisited += 1;
      if (zone !== null && machine.record.zone !== zone) return false;
      if (!hasCapacityFor(machine, demand, tasks) || !satisfiesConstraints(machine, job, this.now))
        return false;
      return partner === null || satisfiesConstraints(machine, partner, this.now);
    };
    if (job.spec.kind === 'service') return this.#spreadingOf(job).bestMachine(demand, accepts);
    return this.#leastUnused(job.spec.image, demand, accepts);
  }

  #leastUnused(
    image: string,
    demand: Resources,
    accepts: (machine: MachineState) => boolean,
  ): MachineState | null {
    const withImage = this.#machinesWithImage(image).leastUnused(demand, accepts);
    return withImage ?? this.#machines.leastUnused(demand, accepts);
  }

  #machinesWithImage(image: string): UnusedVolumeIndex {
    let withImage = this.#machinesByImage.get(image);
    if (withImage === undefined) {
      const machines = [...this.#machines.machines()].filter((m) => m.images.has(image));
      withImage = new UnusedVolumeIndex(machines, this.state.largestCapacity);
      this.#machinesByImage.set(image, withImage);
    }
    return withImage;
  }

  #spreadingOf(job: JobState): ReplicaSpreading {
    if (this.#replicaSpreading?.job !== job) {
      const machines = this.#machines.machines();
      this.#replicaSpreading = new ReplicaSpreading(job, machines, this.state.largestCapacity);
    }
    return this.#replicaSpreading;
  }

  /** Whether the pass has placed so many tasks that it should end, and another one should follow. */
  get isLimitReached(): boolean {
    return this.#placedTasks >= MAX_PLACEMENTS_PER_PASS;
  }

  /** Must be called after so many tasks were placed on the machine. */
  capacityTaken(machine: MachineState, tasks = 1): void {
    this.#placedTasks += tasks;
    this.#update(machine, hasCapacityFor(machine, this.minimumDemand));
  }

  /** Must be called after a placement on the machine was undone. */
  capacityReturned(machine: MachineState): void {
    this.#update(machine, true);
  }

  #update(machine: MachineState, isCandidate: boolean): void {
    const indexes = [this.#machines];
    for (const [image, index] of this.#machinesByImage) {
      if (machine.images.has(image)) indexes.push(index);
    }
    for (const index of indexes) {
      if (isCandidate) index.put(machine);
      else index.remove(machine);
    }
    if (isCandidate) this.#replicaSpreading?.put(machine);
    else this.#replicaSpreading?.remove(machine);
  }
}
