/** Plans which machines a shard rents and returns, from the machines it has and its demand for them. */
import { BOOT_TIMEOUT_FACTOR } from './constants.js';
import { tasksNeedingCapacity } from '../reachability/failure-tracker.js';
import { fitCount, type JobSpec, type MachineType } from '../model.js';
import type { JobState, MachineState } from '../shard/shard.js';
import { ReachableCapacity, zoneForNewMachines } from './reachable-capacity.js';
import {
  cheapestType,
  wholeMachines,
  wantedMachines,
  type DemandInput,
  type TypeNeed,
} from './wanted-machines.js';

/** A request for `count` machines of one kind: planned, or sent and not answered yet. */
export interface RentalRequest {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly count: number;
}

/** The reason for which a machine is returned, as written to the log. `fails tasks`: it is quarantined. */
export type ReturnReason =
  'heartbeats lost' | 'commands lost' | 'never came up' | 'fails tasks' | 'idle';

/** The inputs of a capacity plan. */
export interface CapacityInput extends DemandInput {
  readonly zones: readonly string[];
  /** rentals that were requested and are not answered yet */
  readonly pendingRentals: readonly RentalRequest[];
  /** true for some time after the cloud has had no capacity for this kind of machine */
  readonly inBackoff: (type: string, zone: string, spot: boolean) => boolean;
  readonly idleKeepMs: number;
  /** the operator's limit for the whole cluster; each shard may have an equal part */
  readonly maxMachines: number;
}

/** The machines that a shard should rent and return. */
export interface CapacityPlan {
  readonly rentals: readonly RentalRequest[];
  readonly returns: readonly { readonly name: string; readonly reason: ReturnReason }[];
  /** number of machines that are needed but not requested, because of the operator's limit */
  readonly cappedCount: number;
  /** the need by machine type that the plan follows, for the log */
  readonly wanted: readonly { readonly type: string; readonly need: TypeNeed }[];
}

/** boot time assumed for a machine of an unknown type */
const DEFAULT_BOOT_S = 60;

const isInUse = (machine: MachineState): boolean =>
  machine.tasks.size > 0 || machine.unknownTaskCount > 0;

/**
 * Returns how many waiting tasks of the job need capacity at the same time: all of a gang, all replicas of a
 * service, one of an array.
 */
const simultaneousTasks = (job: JobState): number => {
  // A waiting gang with tasks still placed is being stopped and cannot start before that is done.
  if (job.spec.kind === 'gang') return job.placements.size === 0 ? job.waitingTasks.size : 0;
  return job.spec.kind === 'service' ? job.waitingTasks.size : 1;
};

/** Whether any job or job class is a service that spreads over zones and may not use spot machines. */
const hasSpreadService = (input: CapacityInput): boolean => {
  const isSpreadService = (spec: JobSpec | null) =>
    spec !== null && spec.kind === 'service' && spec.spread && !spec.spot;
  for (const job of input.shard.jobs.values()) {
    if (!job.ended && isSpreadService(job.spec)) return true;
  }
  return [...input.classStats.values()].some(({ sample }) => isSpreadService(sample));
};

/** Counts the retained ordinary (not spot) machines by type and zone. */
class OrdinaryMachines {
  readonly #counts = new Map<string, number>();

  constructor(retained: readonly MachineState[]) {
    for (const machine of retained) if (!machine.record.spot) this.#change(machine, 1);
  }

  #change({ record }: MachineState, by: number): void {
    const key = `${record.type} ${record.zone}`;
    this.#counts.set(key, (this.#counts.get(key) ?? 0) + by);
  }

  count(type: string, zone: string): number {
    return this.#counts.get(`${type} ${zone}`) ?? 0;
  }

  /** Whether the machine is the only ordinary one of its type in its zone; spread services need one there. */
  isLast(machine: MachineState): boolean {
    return !machine.record.spot && this.count(machine.record.type, machine.record.zone) <= 1;
  }

  /** Takes a machine that is being returned out of the counts. */
  remove(machine: MachineState): void {
    if (!machine.record.spot) this.#change(machine, -1);
  }
}

/** Computes one capacity plan for one shard. */
class CapacityPlanner {
  readonly #rentals: RentalRequest[] = [];
  readonly #returns: { name: string; reason: ReturnReason }[] = [];
  /** machines that are neither returned nor draining nor cordoned nor about to be preempted by the cloud */
  readonly #retained: MachineState[] = [];
  readonly #ordinary: OrdinaryMachines;
  readonly #hasSpreadService: boolean;
  /** how many more machines the operator's limit allows; may be negative */
  #headroom: number;
  #cappedCount = 0;

  constructor(private readonly input: CapacityInput) {
    for (const machine of input.shard.machines.values()) {
      if (!machine.terminating && machine.lifecycle !== 'orphaned') this.#classify(machine);
    }
    this.#hasSpreadService = hasSpreadService(input);
    this.#ordinary = new OrdinaryMachines(this.#retained);
    const pending = input.pendingRentals.reduce((sum, rental) => sum + rental.count, 0);
    const limit = Math.ceil(input.maxMachines / input.shardCount);
    this.#headroom = limit - this.#retained.length - pending;
  }

  plan(): CapacityPlan {
    const wanted = wantedMachines(this.input);
    for (const [name, need] of wanted) {
      const type = this.input.types.get(name);
      if (type !== undefined) this.#planType(type, need);
    }
    this.#returnUnwanted(wanted);
    this.#rentForUnschedulable();
    return {
      rentals: this.#rentals,
      returns: this.#returns,
      cappedCount: this.#cappedCount,
      wanted: [...wanted].map(([type, need]) => ({ type, need })),
    };
  }

  /** Plans the return of a machine that is lost or faulty, drains a quarantined one, else retains it. */
  #classify(machine: MachineState): void {
    const reason = this.#faultOf(machine);
    if (reason !== null) this.#return(machine, reason);
    else if (machine.faultStatus === 'quarantined') this.#drain(machine);
    else if (machine.preemptionAt === null && !machine.cordoned) this.#retained.push(machine);
  }

  /** Returns the fault for which the machine has to be returned now; null: none. */
  #faultOf(machine: MachineState): ReturnReason | null {
    const { shard, now } = this.input;
    if (shard.heartbeatsLost(machine, now)) return 'heartbeats lost';
    if (shard.commandsLost(machine, now)) return 'commands lost';
    const bootMs = (machine.type?.bootS ?? DEFAULT_BOOT_S) * 1000;
    const neverUp = !machine.hasConfirmedTerm && !machine.record.up;
    if (neverUp && now - machine.trackedSince > bootMs * BOOT_TIMEOUT_FACTOR) {
      return 'never came up';
    }
    return machine.faultStatus === 'quarantined' && !isInUse(machine) ? 'fails tasks' : null;
  }

  /**
   * Drains a quarantined machine, so that it can be returned once it is empty. Tasks of arrays and gangs end by
   * themselves. Replicas of services never do, so they are stopped: the machine could not be returned otherwise.
   */
  #drain(machine: MachineState): void {
    machine.lifecycle = 'draining';
    for (const placement of [...machine.tasks.values()]) {
      if (placement.job.spec.kind === 'service') {
        this.input.shard.requestStop(placement, 0, this.input.now);
      }
    }
  }

  #return(machine: MachineState, reason: ReturnReason): void {
    this.#returns.push({ name: machine.record.name, reason });
  }

  #isPending(type: string, zone: string, spot: boolean): boolean {
    return this.input.pendingRentals.some(
      (rental) => rental.type === type && rental.zone === zone && rental.spot === spot,
    );
  }

  /** Returns how many machines of the type are retained or have their rental pending. */
  #countWithPending(type: string, spot: boolean): number {
    let count = 0;
    for (const machine of this.#retained) {
      if (machine.record.type === type && machine.record.spot === spot) count += 1;
    }
    for (const rental of this.input.pendingRentals) {
      if (rental.type === type && rental.spot === spot) count += rental.count;
    }
    return count;
  }

  /**
   * Returns how many machines a zone has, by which new ones are balanced over the zones. If a spread service may
   * use ordinary machines only, these are balanced separately from the spot machines.
   */
  #countInZone(zone: string, spot: boolean): number {
    const ordinaryOnly = !spot && this.#hasSpreadService;
    let count = 0;
    for (const { record } of this.#retained) {
      if (record.zone === zone && !(ordinaryOnly && record.spot)) count += 1;
    }
    return count;
  }

  /**
   * Plans rentals of `count` machines in one zone, or balanced over all zones if `onlyZone` is null. Returns how
   * many machines can be expected: those of the planned rentals, or `count` while every zone that has capacity has
   * a rental of this kind pending.
   */
  #rent(type: MachineType, spot: boolean, count: number, onlyZone: string | null): number {
    const { zones, inBackoff } = this.input;
    const open = zones
      .filter((zone) => (onlyZone === null || zone === onlyZone) && type.zones.includes(zone))
      .filter((zone) => !inBackoff(type.name, zone, spot));
    // The number of calls to the cloud is limited, so a kind with a pending rental gets no second one: a later plan
    // requests what is still missing then.
    const ready = open.filter((zone) => !this.#isPending(type.name, zone, spot));
    if (open.length > 0 && ready.length === 0) return count;
    const granted = Math.max(0, Math.min(count, this.#headroom));
    if (ready.length > 0) this.#cappedCount += count - granted;
    if (granted <= 0 || ready.length === 0) return 0;
    const countByZone = new Map(ready.map((zone) => [zone, this.#countInZone(zone, spot)]));
    ready.sort((a, b) => countByZone.get(a)! - countByZone.get(b)! || (a < b ? -1 : 1));
    ready.slice(0, granted).forEach((zone, i) => {
      // Equal parts; zones with fewer machines get the remainder.
      const part = Math.floor(granted / ready.length) + (i < granted % ready.length ? 1 : 0);
      this.#rentals.push({ type: type.name, zone, spot, count: part });
    });
    this.#headroom -= granted;
    return granted;
  }

  /** Plans the rentals and returns that bring the machines of one type to what is needed. */
  #planType(type: MachineType, need: TypeNeed): void {
    const ordinary = this.#countWithPending(type.name, false);
    const spot = this.#countWithPending(type.name, true);
    const missing = wholeMachines(need.ordinary) - ordinary;
    if (missing > 0) this.#rent(type, false, missing, null);
    const spare = Math.max(0, -missing);
    const missingSpot = Math.max(0, wholeMachines(need.spot - spare) - spot);
    const expectedSpot = this.#rent(type, true, missingSpot, null);
    // Where the cloud has no spot machines, ordinary ones take their place as far as they are worth their price.
    const missingInstead = wholeMachines(need.instead - spare) - spot - expectedSpot;
    if (missingInstead > 0) this.#rent(type, false, missingInstead, null);
    if (this.#hasSpreadService) this.#rentForEmptyZones(type);
    this.#returnIdle(type, {
      spot: spot - Math.ceil(need.spot),
      ordinary: ordinary - Math.ceil(need.ordinary) - Math.max(0, Math.ceil(need.instead) - spot),
    });
  }

  /**
   * Rents one ordinary machine in each zone that has none: half of the replicas of a spread service would have to
   * wait for a boot there.
   */
  #rentForEmptyZones(type: MachineType): void {
    for (const zone of type.zones) {
      const isEmpty = this.#ordinary.count(type.name, zone) === 0;
      if (isEmpty && !this.#isPending(type.name, zone, false)) this.#rent(type, false, 1, zone);
    }
  }

  #isIdle(machine: MachineState): boolean {
    return (
      machine.confirmedSince !== null &&
      !isInUse(machine) &&
      this.input.now - machine.idleSince > this.input.idleKeepMs
    );
  }

  /** Returns idle machines of the type up to the surplus, the longest idle first. */
  #returnIdle(type: MachineType, surplus: { spot: number; ordinary: number }): void {
    const idle = this.#retained
      .filter((m) => m.record.type === type.name && m.reservation === null && this.#isIdle(m))
      .sort((a, b) => a.idleSince - b.idleSince);
    for (const machine of idle) {
      if (this.#hasSpreadService && this.#ordinary.isLast(machine)) continue;
      const market = machine.record.spot ? 'spot' : 'ordinary';
      if (surplus[market] <= 0) continue;
      surplus[market] -= 1;
      this.#ordinary.remove(machine);
      this.#return(machine, 'idle');
    }
  }

  /** Returns idle machines of types that no job class needs. */
  #returnUnwanted(wanted: ReadonlyMap<string, TypeNeed>): void {
    for (const machine of this.#retained) {
      if (!wanted.has(machine.record.type) && this.#isIdle(machine)) this.#return(machine, 'idle');
    }
  }

  /**
   * Rents machines for a job that fits on no machine present or pending, however little work it has. Does nothing
   * if the plan has rentals already, and stops once it has.
   */
  #rentForUnschedulable(): void {
    const { shard, pendingRentals, types, now } = this.input;
    const reachable = new ReachableCapacity(
      this.#retained,
      pendingRentals,
      types,
      shard.preemptionEnabled,
      now,
    );
    for (const job of shard.jobs.values()) {
      if (this.#rentals.length > 0) return;
      if (tasksNeedingCapacity(job, now) === 0) continue;
      const missing = simultaneousTasks(job) - reachable.tasksThatFit(job);
      if (missing > 0) this.#rentForJob(job, missing);
    }
  }

  #rentForJob(job: JobState, tasks: number): void {
    const { spec } = job;
    const type = cheapestType(spec, this.input.types.values());
    if (type === null) return;
    const count = Math.ceil(tasks / Math.max(1, fitCount(spec.demand, type)));
    const zone = zoneForNewMachines(job, type, this.#retained);
    const spotCount = spec.spot ? this.#rent(type, true, count, zone) : 0;
    if (spotCount < count) this.#rent(type, false, count - spotCount, zone);
  }
}

/** Plans the machines that a shard rents and returns. Drains quarantined machines, but changes nothing else. */
export const planCapacity = (input: CapacityInput): CapacityPlan =>
  new CapacityPlanner(input).plan();
