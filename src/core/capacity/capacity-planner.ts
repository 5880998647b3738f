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

/** What a shard should rent and give back, from what it has and what it needs. */

/** Machines of one kind to be rented, or asked for already. */
export interface RentalRequest {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly count: number;
}

/** Why a machine is returned; written to the log. */
export type ReturnReason =
  'heartbeats lost' | 'commands lost' | 'never came up' | 'fails tasks' | 'idle';

/** What a plan is made of. */
export interface CapacityInput extends DemandInput {
  readonly zones: readonly string[];
  /** rentals asked for but not answered */
  readonly pendingRentals: readonly RentalRequest[];
  /** true while the cloud has said "no capacity" for this kind lately */
  readonly inBackoff: (type: string, zone: string, spot: boolean) => boolean;
  readonly idleKeepMs: number;
  readonly maxMachines: number;
}

/** Machines to rent and to return. */
export interface CapacityPlan {
  readonly rentals: readonly RentalRequest[];
  readonly returns: readonly { readonly name: string; readonly reason: ReturnReason }[];
  /** machines that were not asked for because of the operator's limit */
  readonly cappedCount: number;
  /** machines wanted by type: ordinary ones, and such of any kind while spot ones can be had */
  readonly wanted: readonly { readonly type: string; readonly need: TypeNeed }[];
}

const DEFAULT_BOOT_S = 60;

const inUse = (m: MachineState): boolean => m.tasks.size > 0 || m.unknownTaskCount > 0;

/** Tasks that must find room at the same time: all of a gang, all replicas, one of an array. */
const tasksNeedingRoom = (job: JobState): number => {
  // A gang of which something is still placed is being stopped, and waits for that.
  if (job.spec.kind === 'gang') return job.placements.size === 0 ? job.waitingTasks.length : 0;
  return job.spec.kind === 'service' ? job.waitingTasks.length : 1;
};

/** A service whose replicas must be in several zones, and may not use spot machines, is known. */
const spreadServiceKnown = (input: CapacityInput): boolean => {
  const spreads = (spec: JobSpec | null) =>
    spec !== null && spec.kind === 'service' && spec.spread && !spec.spot;
  for (const job of input.shard.jobs.values()) if (!job.ended && spreads(job.spec)) return true;
  return [...input.classStats.values()].some((s) => spreads(s.sample));
};

/** Ordinary machines that stay, counted by type and zone. */
class OrdinaryMachines {
  readonly #counts = new Map<string, number>();

  constructor(staying: readonly MachineState[]) {
    for (const m of staying) if (!m.record.spot) this.#change(m, 1);
  }

  #change({ record }: MachineState, by: number): void {
    const kind = `${record.type} ${record.zone}`;
    this.#counts.set(kind, (this.#counts.get(kind) ?? 0) + by);
  }

  count(type: string, zone: string): number {
    return this.#counts.get(`${type} ${zone}`) ?? 0;
  }

  /** The only one of its type in its zone, which the next spread service would miss. */
  isLast(m: MachineState): boolean {
    return !m.record.spot && this.count(m.record.type, m.record.zone) <= 1;
  }

  goes(m: MachineState): void {
    if (!m.record.spot) this.#change(m, -1);
  }
}

/** One plan for one shard. */
class CapacityPlanner {
  readonly #rent: RentalRequest[] = [];
  readonly #giveBack: { name: string; reason: ReturnReason }[] = [];
  /** machines that are neither given back nor about to be taken */
  readonly #staying: MachineState[] = [];
  readonly #ordinary: OrdinaryMachines;
  readonly #spreads: boolean;
  /** machines that the operator's limit still allows */
  #allowed: number;
  #capped = 0;

  constructor(private readonly input: CapacityInput) {
    for (const m of input.shard.machines.values()) {
      if (!m.terminating && m.lifecycle !== 'orphaned') this.#sort(m);
    }
    this.#spreads = spreadServiceKnown(input);
    this.#ordinary = new OrdinaryMachines(this.#staying);
    const pending = input.pendingRentals.reduce((sum, p) => sum + p.count, 0);
    this.#allowed =
      Math.ceil(input.maxMachines / input.shardCount) - this.#staying.length - pending;
  }

  plan(): CapacityPlan {
    const wanted = wantedMachines(this.input);
    for (const [name, need] of wanted) {
      const type = this.input.types.get(name);
      if (type !== undefined) this.#planType(type, need);
    }
    this.#returnUnwanted(wanted);
    this.#rentForUnplaceable();
    return {
      rentals: this.#rent,
      returns: this.#giveBack,
      cappedCount: this.#capped,
      wanted: [...wanted].map(([type, need]) => ({ type, need })),
    };
  }

  /** Gives the machine back if it is of no use any more, else counts it as staying. */
  #sort(m: MachineState): void {
    const reason = this.#faultOf(m);
    if (reason !== null) this.#return(m, reason);
    else if (m.faultStatus === 'quarantined') this.#empty(m);
    else if (m.preemptionAt === null && !m.cordoned) this.#staying.push(m);
  }

  #faultOf(m: MachineState): ReturnReason | null {
    const { shard, now } = this.input;
    if (shard.heartbeatsLost(m, now)) return 'heartbeats lost';
    if (shard.commandsLost(m, now)) return 'commands lost';
    const bootMs = (m.type?.bootS ?? DEFAULT_BOOT_S) * 1000;
    const neverUp = !m.everConfirmed && !m.record.up;
    if (neverUp && now - m.trackedSince > bootMs * BOOT_TIMEOUT_FACTOR) return 'never came up';
    return m.faultStatus === 'quarantined' && !inUse(m) ? 'fails tasks' : null;
  }

  /** Replicas never end by themselves: they move, or a condemned machine would stay for ever. */
  #empty(m: MachineState): void {
    m.lifecycle = 'draining';
    for (const p of [...m.tasks.values()]) {
      if (p.job.spec.kind === 'service') this.input.shard.requestStop(p, 0, this.input.now);
    }
  }

  #return(m: MachineState, reason: ReturnReason): void {
    this.#giveBack.push({ name: m.record.name, reason });
  }

  #isPending(type: string, zone: string, spot: boolean): boolean {
    return this.input.pendingRentals.some(
      (p) => p.type === type && p.zone === zone && p.spot === spot,
    );
  }

  /** Machines of the type that stay or are asked for. */
  #have(type: string, spot: boolean): number {
    let count = 0;
    for (const m of this.#staying) {
      if (m.record.type === type && m.record.spot === spot) count += 1;
    }
    for (const p of this.input.pendingRentals)
      if (p.type === type && p.spot === spot) count += p.count;
    return count;
  }

  /** Ordinary machines are balanced by themselves where a service that spreads may use no others. */
  #countInZone(zone: string, spot: boolean): number {
    const ordinaryOnly = !spot && this.#spreads;
    let count = 0;
    for (const { record } of this.#staying) {
      if (record.zone === zone && !(ordinaryOnly && record.spot)) count += 1;
    }
    return count;
  }

  /** Asks for machines, in one zone or over all; returns how many will come as far as can be told. */
  #wish(type: MachineType, spot: boolean, count: number, only: string | null): number {
    const { zones, inBackoff: refused } = this.input;
    const open = zones
      .filter((z) => (only === null || z === only) && type.zones.includes(z))
      .filter((z) => !refused(type.name, z, spot));
    // Calls to the cloud are few: what is missing while one is under way goes into the next.
    const ready = open.filter((z) => !this.#isPending(type.name, z, spot));
    if (open.length > 0 && ready.length === 0) return count;
    const granted = Math.max(0, Math.min(count, this.#allowed));
    if (ready.length > 0) this.#capped += count - granted;
    if (granted <= 0 || ready.length === 0) return 0;
    const inZone = new Map(ready.map((z) => [z, this.#countInZone(z, spot)]));
    ready.sort((a, b) => inZone.get(a)! - inZone.get(b)! || (a < b ? -1 : 1));
    ready.slice(0, granted).forEach((zone, i) => {
      // Spread over the zones, the emptier ones first.
      const share = Math.floor(granted / ready.length) + (i < granted % ready.length ? 1 : 0);
      this.#rent.push({ type: type.name, zone, spot, count: share });
    });
    this.#allowed -= granted;
    return granted;
  }

  #planType(type: MachineType, need: TypeNeed): void {
    const ordinary = this.#have(type.name, false);
    const spot = this.#have(type.name, true);
    const missing = wholeMachines(need.ordinary) - ordinary;
    if (missing > 0) this.#wish(type, false, missing, null);
    const spare = Math.max(0, -missing);
    const wantedSpot = Math.max(0, wholeMachines(need.spot - spare) - spot);
    const got = this.#wish(type, true, wantedSpot, null);
    // Where spot machines are refused, ordinary ones do as well, if they are worth it.
    const more = wholeMachines(need.instead - spare) - spot - got;
    if (more > 0) this.#wish(type, false, more, null);
    if (this.#spreads) this.#rentWhereNoneIs(type);
    this.#returnIdle(type, {
      spot: spot - Math.ceil(need.spot),
      ordinary: ordinary - Math.ceil(need.ordinary) - Math.max(0, Math.ceil(need.instead) - spot),
    });
  }

  /** A zone without an ordinary machine: half of a service's replicas would wait there for a boot. */
  #rentWhereNoneIs(type: MachineType): void {
    for (const zone of type.zones) {
      const none = this.#ordinary.count(type.name, zone) === 0;
      if (none && !this.#isPending(type.name, zone, false)) this.#wish(type, false, 1, zone);
    }
  }

  #isIdle(m: MachineState): boolean {
    return (
      m.confirmedSince !== null && !inUse(m) && this.input.now - m.idleSince > this.input.idleKeepMs
    );
  }

  /** Idle machines beyond what is wanted go back, the longest idle first. */
  #returnIdle(type: MachineType, surplus: { spot: number; ordinary: number }): void {
    const idle = this.#staying
      .filter((m) => m.record.type === type.name && m.reservation === null && this.#isIdle(m))
      .sort((a, b) => a.idleSince - b.idleSince);
    for (const m of idle) {
      if (this.#spreads && this.#ordinary.isLast(m)) continue;
      const kind = m.record.spot ? 'spot' : 'ordinary';
      if (surplus[kind] <= 0) continue;
      surplus[kind] -= 1;
      this.#ordinary.goes(m);
      this.#return(m, 'idle');
    }
  }

  /** Idle machines of types that nothing needs. */
  #returnUnwanted(wanted: ReadonlyMap<string, TypeNeed>): void {
    for (const m of this.#staying) {
      if (!wanted.has(m.record.type) && this.#isIdle(m)) this.#return(m, 'idle');
    }
  }

  /** However little work it is: a job that no machine could ever take gets one that can. */
  #rentForUnplaceable(): void {
    const { shard, pendingRentals: pending, types, now } = this.input;
    const reachable = new ReachableCapacity(
      this.#staying,
      pending,
      types,
      shard.preemptionEnabled,
      now,
    );
    for (const job of shard.jobs.values()) {
      if (this.#rent.length > 0) return;
      if (tasksNeedingCapacity(job, now) === 0) continue;
      const missing = tasksNeedingRoom(job) - reachable.tasksThatFit(job);
      if (missing > 0) this.#rentFor(job, missing);
    }
  }

  #rentFor(job: JobState, tasks: number): void {
    const { spec } = job;
    const type = cheapestType(spec, this.input.types.values());
    if (type === null) return;
    const count = Math.ceil(tasks / Math.max(1, fitCount(spec.demand, type)));
    const zone = zoneForNewMachines(job, type, this.#staying);
    const got = spec.spot ? this.#wish(type, true, count, zone) : 0;
    if (got < count) this.#wish(type, false, count - got, zone);
  }
}

/** Plans what a shard rents and returns; pure. */
export const planCapacity = (input: CapacityInput): CapacityPlan =>
  new CapacityPlanner(input).plan();
