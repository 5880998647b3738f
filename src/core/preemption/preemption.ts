/** Reservation of machines for jobs that could not be placed, and preemption of other tasks for them. */
import {
  PARTIAL_RESERVATION_SHARE,
  RESERVATION_TTL_MS,
  MAX_RESERVATION_ATTEMPTS,
} from './constants.js';
import { isFeasible } from '../placement/constraints.js';
import type { JobState, MachineState, Placement } from '../shard/types.js';
import type { ShardState } from '../shard/shard-state.js';
import { freeTaskSlots, hasCapacityFor, tasksThatFit } from '../placement/machine-capacity.js';
import type { Quotas } from '../placement/quotas.js';
import { ResourceSum } from '../resource-sum.js';
import { add, dominantShare, fits, fitCount, type JobSpec, type Resources } from '../model.js';

/** A machine that could take tasks of a job, at once or after `victims` are stopped. */
interface ReservationOption {
  readonly machine: MachineState;
  /** number of tasks of the job that fit */
  readonly slots: number;
  readonly victims: readonly Placement[];
  /** cost of the option in machine seconds: time until the job can run, and work of the victims that is lost */
  readonly lossS: number;
}

/**
 * Provides capacity for jobs that could not be placed: preempts tasks of a lower rank and tasks of teams that exceed
 * their guarantee, and reserves machines for gangs until all tasks of the gang fit.
 */
export class Preemption {
  constructor(
    private readonly state: ShardState,
    private readonly quotas: Quotas,
  ) {}

  /**
   * Reserves capacity for the jobs that could not be placed, which are given in the order of the queue.
   *
   * A gang for which there are not enough machines yet may reserve some partially and wait for more. This guarantees
   * that every gang gets its machines eventually, however many smaller jobs there are. The first such gang always may;
   * further gangs only while less than `PARTIAL_RESERVATION_SHARE` of the machines of the shard is partially reserved.
   */
  reserveCapacity(unschedulable: readonly JobState[], now: number): void {
    const accumulatingUids = new Set<string>();
    let machinesLeft = Math.floor(this.state.machines.size * PARTIAL_RESERVATION_SHARE);
    let attempts = 0;
    const lowestRank = this.#lowestPlacedRank();
    for (const job of unschedulable) {
      if (attempts >= MAX_RESERVATION_ATTEMPTS) break;
      if (this.quotas.tasksWithinLimit(job) < 1) continue;
      const mayPreempt =
        this.state.settings.preempt &&
        (job.priorityRank > lowestRank || this.quotas.staysWithinGuarantee(job));
      if (job.spec.kind !== 'gang') {
        if (!mayPreempt) continue;
        attempts += 1;
        this.#reserve(job, 1, mayPreempt, now);
      } else if (
        job.placements.size === 0 &&
        (mayPreempt || accumulatingUids.size === 0 || machinesLeft > 0)
      ) {
        attempts += 1;
        const isReserved = this.#reserve(job, job.waitingTasks.size, mayPreempt, now);
        if (isReserved || (accumulatingUids.size > 0 && machinesLeft <= 0)) continue;
        accumulatingUids.add(job.spec.uid);
        machinesLeft -= this.#reservePartially(job, now);
      }
    }
    for (const machine of this.state.machines.values()) {
      if (machine.reservation?.partial === true && !accumulatingUids.has(machine.reservation.uid))
        machine.reservation = null;
    }
  }

  /** Returns the lowest rank of all jobs with placed tasks; Infinity if there are none. */
  #lowestPlacedRank(): number {
    let lowest = Infinity;
    for (const job of this.state.jobs.values()) {
      if (job.placements.size > 0) lowest = Math.min(lowest, job.priorityRank);
    }
    return lowest;
  }

  /**
   * Returns whether tasks of `victim` may be stopped for `job`: it has a lower rank, or its team exceeds its guarantee
   * while the team of the job, a different one, stays within its own.
   */
  #mayPreempt(job: JobState, victim: JobState): boolean {
    if (victim.priorityRank < job.priorityRank) return true;
    return (
      victim.spec.team !== job.spec.team &&
      this.quotas.staysWithinGuarantee(job) &&
      this.quotas.exceedsGuarantee(victim.spec.team)
    );
  }

  /**
   * Reserves machines for so many tasks of the job, those with the least loss first, and stops the tasks that are in
   * the way. Returns true if the job has enough machines. Otherwise reserves nothing and returns false.
   */
  #reserve(job: JobState, tasks: number, mayPreempt: boolean, now: number): boolean {
    const { uid } = job.spec;
    const reserved = [...this.state.machines.values()].filter((m) => m.reservation?.uid === uid);
    const fullyReserved = reserved.filter((m) => m.reservation?.partial !== true);
    let missing = tasks;
    for (const machine of fullyReserved)
      missing -= tasksThatFitAfterStops(machine, job.spec.demand);
    if (missing <= 0) return true;
    const zone = job.spec.oneZone ? (fullyReserved[0]?.record.zone ?? null) : null;
    const options: ReservationOption[] = [];
    for (const machine of this.state.machines.values()) {
      if (fullyReserved.includes(machine) || (zone !== null && machine.record.zone !== zone))
        continue;
      const option = isFeasible(this.state, machine, job, now)
        ? this.#option(machine, job, mayPreempt, now)
        : null;
      if (option !== null) options.push(option);
    }
    const usable =
      job.spec.oneZone && zone === null ? optionsOfBestZone(options, missing) : options;
    if (usable.reduce((sum, { slots }) => sum + slots, 0) < missing) return false;
    usable.sort((a, b) => a.lossS - b.lossS);
    for (const { machine, slots, victims } of usable) {
      if (missing <= 0) break;
      machine.reservation = { uid, until: now + RESERVATION_TTL_MS, partial: false };
      for (const victim of victims) this.state.requestStop(victim, victim.job.spec.saveS + 1, now);
      missing -= slots;
    }
    return true;
  }

  /**
   * Reserves machines for a gang that cannot have enough of them yet, so that nothing new starts on them and they
   * become empty: machines with free capacity first, then those whose tasks will end soonest. All are in one zone if
   * the gang has to be. Returns the number of machines reserved for the gang.
   */
  #reservePartially(job: JobState, now: number): number {
    const { uid, oneZone, demand } = job.spec;
    const options: (ReservationOption & { readonly isReserved: boolean })[] = [];
    for (const machine of this.state.machines.values()) {
      if (
        machine.type === null ||
        !fits(demand, machine.type) ||
        !isFeasible(this.state, machine, job, now)
      )
        continue;
      const fitsNow = hasCapacityFor(machine, demand);
      const slots = fitsNow ? tasksThatFit(machine, demand) : fitCount(demand, machine.type);
      const lossS = fitsNow ? 0 : this.#remainingS(machine, now);
      const isReserved = machine.reservation?.uid === uid;
      options.push({ machine, slots, victims: [], lossS, isReserved });
    }
    const reserved = options.filter((option) => option.isReserved);
    const zone = oneZone ? (reserved[0]?.machine.record.zone ?? null) : null;
    const usable = oneZone
      ? zone === null
        ? optionsOfBestZone(options, job.waitingTasks.size)
        : options.filter(({ machine }) => machine.record.zone === zone)
      : options;
    // Machines that are reserved already come first: otherwise the gang would start anew whenever the order changes.
    usable.sort((a, b) => Number(b.isReserved) - Number(a.isReserved) || a.lossS - b.lossS);
    let missing = job.waitingTasks.size;
    let machines = 0;
    for (const { machine, slots } of usable) {
      if (missing <= 0) break;
      machine.reservation = { uid, until: now + RESERVATION_TTL_MS, partial: true };
      missing -= slots;
      machines += 1;
    }
    return machines;
  }

  /** Returns the seconds until all tasks on the machine have ended, by the estimates of their users. */
  #remainingS(machine: MachineState, now: number): number {
    let longestS = 0;
    for (const { runningSince, job } of machine.tasks.values()) {
      const ranS = runningSince === null ? 0 : (now - runningSince) / 1000;
      longestS = Math.max(longestS, job.spec.estimateS - ranS);
    }
    return longestS;
  }

  /** Returns the seconds that the machine needs to fetch the image of the job; 0 if it holds the image. */
  #fetchS(machine: MachineState, spec: JobSpec): number {
    return machine.images.has(spec.image) ? 0 : spec.imageGb / (machine.type?.fetchGbPerS ?? 1);
  }

  /**
   * Returns how the machine could take tasks of the job: as many as fit now, else one in place of the victims with the
   * least loss, or null if even that is impossible or not allowed.
   */
  #option(
    machine: MachineState,
    job: JobState,
    mayPreempt: boolean,
    now: number,
  ): ReservationOption | null {
    const { demand } = job.spec;
    const fetchS = this.#fetchS(machine, job.spec);
    if (hasCapacityFor(machine, demand)) {
      return { machine, slots: tasksThatFit(machine, demand), victims: [], lossS: fetchS };
    }
    const preemptibleJobs = mayPreempt ? this.#preemptibleJobs(machine, job) : null;
    if (preemptibleJobs === null) return null;
    let free = machine.free;
    let slots = freeTaskSlots(machine);
    let lossS = fetchS;
    const victims: Placement[] = [];
    for (const { placement, lostWorkS } of this.#byLostWork(machine, preemptibleJobs, now)) {
      if (slots > 0 && fits(demand, free)) break;
      const { demand: victimDemand } = placement.job.spec;
      free = add(free, victimDemand);
      slots += 1;
      if (placement.stop === null) {
        victims.push(placement);
        // Scaled to seconds of the whole machine, so that it can be compared with the time to fetch the image.
        const share = dominantShare(victimDemand, machine.type ?? this.state.largestCapacity);
        lossS += lostWorkS * share;
      }
    }
    return slots > 0 && fits(demand, free) ? { machine, slots: 1, victims, lossS } : null;
  }

  /** Returns the jobs on the machine that may be preempted for `job`; null if that would not free enough capacity. */
  #preemptibleJobs(machine: MachineState, job: JobState): ReadonlySet<JobState> | null {
    const preemptible = new Set<JobState>();
    let free = machine.free;
    let slots = freeTaskSlots(machine);
    for (const [present, tasks] of machine.tasksByJob) {
      if (!this.#mayPreempt(job, present)) continue;
      preemptible.add(present);
      free = add(free, present.spec.demand, tasks);
      slots += tasks;
    }
    return slots > 0 && fits(job.spec.demand, free) ? preemptible : null;
  }

  /** Returns the tasks of the jobs on the machine, those whose stop loses the least work first. */
  #byLostWork(
    machine: MachineState,
    jobs: ReadonlySet<JobState>,
    now: number,
  ): { readonly placement: Placement; readonly lostWorkS: number }[] {
    return [...machine.tasks.values()]
      .filter((placement) => jobs.has(placement.job))
      .map((placement) => ({ placement, lostWorkS: lostWorkIfStoppedS(placement, now) }))
      .sort((a, b) => a.lostWorkS - b.lostWorkS);
  }
}

/** Returns the seconds of work that are lost if a task is stopped now. Stopping a task of a gang stops all of it. */
const lostWorkIfStoppedS = (placement: Placement, now: number): number => {
  const ranS = placement.runningSince === null ? 0 : (now - placement.runningSince) / 1000;
  const { checkpointS, saveS, kind } = placement.job.spec;
  const tasks = kind === 'gang' ? placement.job.placements.size : 1;
  return (checkpointS > 0 ? saveS : ranS) * tasks;
};

/** Returns how many tasks with this demand the machine can take once all tasks that are being stopped are gone. */
const tasksThatFitAfterStops = (machine: MachineState, demand: Resources): number => {
  const free = new ResourceSum();
  free.add(machine.free);
  let slots = freeTaskSlots(machine);
  for (const { stop, job } of machine.tasks.values()) {
    if (stop === null) continue;
    free.add(job.spec.demand);
    slots += 1;
  }
  return Math.min(fitCount(demand, free.value), slots);
};

/**
 * Returns the options of one zone: of the zones with enough slots, the one with the least mean loss; if no zone has
 * enough, the one with the most slots. Of equal zones it is the first by name.
 */
const optionsOfBestZone = <O extends ReservationOption>(
  options: readonly O[],
  slotsNeeded: number,
): O[] => {
  const zones = new Map<string, { options: O[]; slots: number; lossS: number }>();
  for (const option of options) {
    const name = option.machine.record.zone;
    const zone = zones.get(name) ?? { options: [], slots: 0, lossS: 0 };
    zone.options.push(option);
    zone.slots += option.slots;
    zone.lossS += option.lossS;
    zones.set(name, zone);
  }
  const ranked = [...zones].sort(([nameA, a], [nameB, b]) => {
    const enough = Number(b.slots >= slotsNeeded) - Number(a.slots >= slotsNeeded);
    const meanLoss = a.lossS / a.options.length - b.lossS / b.options.length;
    return (
      enough || (a.slots >= slotsNeeded ? meanLoss : b.slots - a.slots) || (nameA < nameB ? -1 : 1)
    );
  });
  return ranked[0]?.[1].options ?? [];
};
