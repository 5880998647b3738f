import { BOOT_GIVE_UP, CEIL_SLACK, RUN_UNKNOWN_S } from '../constants.js';
import { typesFor } from './admission.js';
import { tasksInNeed } from './failures.js';
import type { ClassStats } from './learning.js';
import { dominantShare, timesIn, type JobSpec, type MachineType, type Objective } from './model.js';
import type { JobState, MachineState, Part } from './part.js';
import { ReachableRoom, zoneToGrow } from './reachable-room.js';

export interface RentWish {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly count: number;
}

export interface CapacityInput {
  readonly part: Part;
  readonly parts: number;
  readonly types: ReadonlyMap<string, MachineType>;
  readonly zones: readonly string[];
  readonly objectives: readonly Objective[];
  readonly stats: ReadonlyMap<string, ClassStats>;
  /** tasks of each class in the other parts, waiting or placed */
  readonly elsewhere: ReadonlyMap<string, number>;
  /** jobs that were told to come back: their machines are rented before they are accepted */
  readonly expected: readonly JobSpec[];
  /** rentals asked for but not answered */
  readonly pending: readonly RentWish[];
  /** true while the cloud has said "no capacity" for this kind lately */
  readonly refused: (type: string, zone: string, spot: boolean) => boolean;
  readonly reserveSigma: number;
  readonly drainS: number;
  readonly idleKeepMs: number;
  readonly machinesMost: number;
  readonly now: number;
}

export interface CapacityPlan {
  readonly rent: readonly RentWish[];
  /** machines to give back, with the reason */
  readonly giveBack: readonly { readonly name: string; readonly reason: string }[];
  /** machines wanted by type: ordinary ones, and such of any kind while spot ones can be had */
  /** machines that were not asked for because of the operator's limit */
  readonly capped: number;
  readonly wanted: readonly { readonly type: string; readonly need: TypeNeed }[];
}

/** Machines of one type that a part needs. */
export interface TypeNeed {
  /** for jobs that may not use spot machines */
  ordinary: number;
  /** for all others, if spot machines can be had */
  spot: number;
  /** for all others, if they cannot: dearer machines have to be worth it */
  instead: number;
}

const machinesFor = (need: number): number => Math.max(0, Math.ceil(need - CEIL_SLACK));

/** Classes whose tasks must start sooner than a machine boots need machines kept ready. */
export const isUrgent = (
  jobClass: string,
  objectives: readonly Objective[],
  bootS: number,
): boolean =>
  objectives.some((o) => o.kind === 'wait' && o.jobClass === jobClass && o.withinS < bootS);

const cheapest = (spec: JobSpec, types: Iterable<MachineType>): MachineType | null => {
  let best: MachineType | null = null;
  let bestPrice = Infinity;
  for (const t of typesFor(spec, types)) {
    const price = (spec.spot ? t.spotPrice : t.price) * dominantShare(spec.demand, t);
    if (price < bestPrice) {
      best = t;
      bestPrice = price;
    }
  }
  return best;
};

interface ClassNeed {
  readonly spec: JobSpec;
  readonly type: MachineType;
  running: number;
  waiting: number;
}

const needsByClass = (input: CapacityInput): Map<string, ClassNeed> => {
  const needs = new Map<string, ClassNeed>();
  const note = (spec: JobSpec, running: number, waiting: number): void => {
    let need = needs.get(spec.jobClass);
    if (need === undefined) {
      const type = cheapest(spec, input.types.values());
      if (type === null) return;
      need = { spec, type, running: 0, waiting: 0 };
      needs.set(spec.jobClass, need);
    }
    need.running += running;
    need.waiting += waiting;
  };
  for (const job of input.part.jobs.values()) {
    if (!job.over) note(job.spec, job.placed.size, tasksInNeed(job, input.now));
  }
  for (const spec of input.expected) note(spec, 0, spec.tasks);
  // Classes known from other parts or earlier times need their reserve here as well.
  for (const [name, s] of input.stats) {
    if (needs.has(name) || s.sample === null) continue;
    const type = cheapest(s.sample, input.types.values());
    if (type !== null) needs.set(name, { spec: s.sample, type, running: 0, waiting: 0 });
  }
  return needs;
};

/** s; how long a class's waiting work may take on machines that are dear: what its aims leave. */
const patience = (name: string, need: ClassNeed, runS: number, input: CapacityInput): number => {
  const within = input.objectives
    .filter((o) => o.kind === 'finished' && o.jobClass === name)
    .map((o) => o.withinS);
  if (within.length === 0) return input.drainS;
  return Math.max(input.drainS, Math.min(...within) - runS - need.type.bootS);
};

/**
 * Machines that a part needs: by the square-root rule for urgent classes (expected tasks at once
 * plus some standard deviations), and by the work to be drained for the others.
 */
export const wantedMachines = (input: CapacityInput): Map<string, TypeNeed> => {
  const out = new Map<string, TypeNeed>();
  /** reserve that lower ranks may fill until it is needed */
  let slack = 0;
  for (const [name, need] of needsByClass(input)) {
    const s = input.stats.get(name);
    const runS = s?.runS ?? (need.spec.estimateS > 0 ? need.spec.estimateS : RUN_UNKNOWN_S);
    const perMachine = Math.max(1, timesIn(need.spec.demand, need.type));
    // Replicas never end, so their run time says nothing: what may arrive while a machine boots counts.
    const service = need.spec.kind === 'service';
    const whole = (s?.tasksPerS ?? 0) * (service ? need.type.bootS : runS);
    const atOnce = whole / input.parts;
    const elsewhere = input.elsewhere.get(name) ?? 0;
    const busy = need.running + need.waiting;
    const t = out.get(need.type.name) ?? { ordinary: 0, spot: 0, instead: 0 };
    out.set(need.type.name, t);
    let soon: number;
    let patient: number;
    if (isUrgent(name, input.objectives, need.type.bootS) || need.spec.kind !== 'array') {
      // What is to be kept beyond the work that is there is shared by the parts: if each kept its
      // share of the whole, the parts with more work than others would come on top.
      const there = service ? 0 : busy + elsewhere;
      const kept = whole + input.reserveSigma * Math.sqrt(whole) - there;
      soon = patient = busy + Math.max(0, kept) / input.parts;
      if (input.part.preempts) slack += Math.max(0, soon - busy) / perMachine;
    } else {
      // Half of the running work is still to be done.
      const work = (need.waiting + need.running / 2) * runS;
      const steady = Math.min(atOnce, busy);
      const within = (seconds: number) => Math.min(busy, Math.max(steady, work / seconds));
      soon = within(Math.max(input.drainS, runS));
      patient = within(Math.max(patience(name, need, runS, input), runS));
    }
    if (need.spec.spot) {
      t.spot += soon / perMachine;
      t.instead += patient / perMachine;
    } else t.ordinary += soon / perMachine;
  }
  for (const t of out.values()) {
    if (t.ordinary === 0) continue;
    t.spot = Math.max(0, t.spot - slack);
    t.instead = Math.max(0, t.instead - slack);
  }
  return out;
};

const inUse = (m: MachineState): boolean => m.tasks.size > 0 || m.foreign > 0;

/** Tasks that must find room at the same time: all of a gang, all replicas, one of an array. */
const tasksNeedingRoom = (job: JobState): number => {
  // A gang of which something is still placed is being stopped, and waits for that.
  if (job.spec.kind === 'gang') return job.placed.size === 0 ? job.waiting.length : 0;
  return job.spec.kind === 'service' ? job.waiting.length : 1;
};

/** A service whose replicas must be in several zones, and may not use spot machines, is known. */
const spreadServiceKnown = (input: CapacityInput): boolean => {
  const spreads = (spec: JobSpec | null) =>
    spec !== null && spec.kind === 'service' && spec.spread && !spec.spot;
  for (const job of input.part.jobs.values()) if (!job.over && spreads(job.spec)) return true;
  return [...input.stats.values()].some((s) => spreads(s.sample));
};

/**
 * Zones in which the part has, and has asked for, no ordinary machine of the type although a service may
 * need one there: half of its replicas would wait for a boot.
 */
const zonesWithout = (
  type: MachineType,
  ordinary: OrdinaryMachines,
  pending: readonly RentWish[],
): string[] =>
  type.zones.filter((zone) => {
    const asked = pending.some((p) => p.type === type.name && p.zone === zone && !p.spot);
    return ordinary.count(type.name, zone) === 0 && !asked;
  });

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

export const planCapacity = (input: CapacityInput): CapacityPlan => {
  const { part, now } = input;
  const giveBack: { name: string; reason: string }[] = [];
  const staying: MachineState[] = [];
  for (const m of part.machines.values()) {
    if (m.returning || m.unrecorded) continue;
    const bootMs = (m.type?.bootS ?? 60) * 1000;
    const neverUp = !m.everKnown && !m.record.up;
    if (part.isLost(m, now)) giveBack.push({ name: m.record.name, reason: 'silent' });
    else if (part.ignoresCommands(m, now))
      giveBack.push({ name: m.record.name, reason: 'hears nothing' });
    else if (neverUp && now - m.since > bootMs * BOOT_GIVE_UP) {
      giveBack.push({ name: m.record.name, reason: 'never came up' });
    } else if (m.condemned) {
      if (inUse(m)) m.leaving = true;
      else giveBack.push({ name: m.record.name, reason: 'fails tasks' });
      // Replicas never end by themselves: they move, or the machine would stay for ever.
      for (const p of [...m.tasks.values()]) {
        if (p.job.spec.kind === 'service') part.requestStop(p, 0, now);
      }
    } else if (m.noticeAt === null) staying.push(m);
  }

  const spreads = spreadServiceKnown(input);
  const ordinaryMachines = new OrdinaryMachines(staying);
  const rent: RentWish[] = [];
  const pendingCount = input.pending.reduce((sum, p) => sum + p.count, 0);
  let room = Math.ceil(input.machinesMost / input.parts) - staying.length - pendingCount;
  let capped = 0;
  const asked = (name: string, zone: string, spot: boolean) =>
    input.pending.some((p) => p.type === name && p.zone === zone && p.spot === spot);
  const wish = (type: MachineType, spot: boolean, count: number, only: string | null): number => {
    // Ordinary machines are balanced by themselves where a service that spreads may use no others.
    const byKind = !spot && spreads;
    const inZone = (z: string) =>
      staying.filter((m) => m.record.zone === z && !(byKind && m.record.spot)).length;
    const open = input.zones
      .filter((z) => (only === null || z === only) && type.zones.includes(z))
      .filter((z) => !input.refused(type.name, z, spot));
    // Calls to the cloud are few: what is missing while one is under way goes into the next.
    const zones = open
      .filter((z) => !asked(type.name, z, spot))
      .sort((a, b) => inZone(a) - inZone(b) || (a < b ? -1 : 1));
    if (open.length > 0 && zones.length === 0) return count;
    const n = Math.max(0, Math.min(count, room));
    if (zones.length > 0) capped += count - n;
    if (n <= 0 || zones.length === 0) return 0;
    zones.slice(0, n).forEach((zone, i) => {
      // Spread over the zones, the emptier ones first.
      const share = Math.floor(n / zones.length) + (i < n % zones.length ? 1 : 0);
      rent.push({ type: type.name, zone, spot, count: share });
    });
    room -= n;
    return n;
  };

  const wanted = wantedMachines(input);
  for (const [name, need] of wanted) {
    const type = input.types.get(name);
    if (type === undefined) continue;
    const have = (spot: boolean) =>
      staying.filter((m) => m.record.type === name && m.record.spot === spot).length +
      input.pending
        .filter((p) => p.type === name && p.spot === spot)
        .reduce((sum, p) => sum + p.count, 0);
    const ordinary = have(false);
    const spot = have(true);
    const missing = machinesFor(need.ordinary) - ordinary;
    if (missing > 0) wish(type, false, missing, null);
    const spare = Math.max(0, -missing);
    const got = wish(type, true, Math.max(0, machinesFor(need.spot - spare) - spot), null);
    // Where spot machines are refused, ordinary ones do as well, if they are worth it.
    const more = machinesFor(need.instead - spare) - spot - got;
    if (more > 0) wish(type, false, more, null);

    const without = spreads ? zonesWithout(type, ordinaryMachines, input.pending) : [];
    for (const zone of without) wish(type, false, 1, zone);

    // Idle machines beyond what is wanted go back, the longest idle first.
    const kept = { spot: Math.ceil(need.spot), any: Math.ceil(need.instead) };
    let surplusSpot = spot - kept.spot;
    let surplusOrdinary =
      ordinary - Math.ceil(need.ordinary) - Math.max(0, Math.ceil(kept.any - spot));
    const idle = staying
      .filter((m) => m.record.type === name && m.known && !inUse(m) && m.hold === null)
      .filter((m) => now - m.idleSince > input.idleKeepMs)
      .sort((a, b) => a.idleSince - b.idleSince);
    for (const m of idle) {
      if (spreads && ordinaryMachines.isLast(m)) continue;
      if ((m.record.spot ? surplusSpot : surplusOrdinary) <= 0) continue;
      if (m.record.spot) surplusSpot -= 1;
      else surplusOrdinary -= 1;
      ordinaryMachines.goes(m);
      giveBack.push({ name: m.record.name, reason: 'idle' });
    }
  }
  for (const m of staying) {
    const unwanted = !wanted.has(m.record.type) && m.known && !inUse(m);
    if (unwanted && now - m.idleSince > input.idleKeepMs) {
      giveBack.push({ name: m.record.name, reason: 'idle' });
    }
  }

  // However little work it is: a job that no machine could ever take gets one that can.
  const reachable = new ReachableRoom(staying, input.pending, input.types, part.preempts, now);
  for (const job of part.jobs.values()) {
    if (rent.length > 0) break;
    if (tasksInNeed(job, now) === 0) continue;
    const { spec } = job;
    const missing = tasksNeedingRoom(job) - reachable.tasksOf(job);
    const type = cheapest(spec, input.types.values());
    if (missing <= 0 || type === null) continue;
    const count = Math.ceil(missing / Math.max(1, timesIn(spec.demand, type)));
    const zone = zoneToGrow(job, type, staying);
    const got = spec.spot ? wish(type, true, count, zone) : 0;
    if (got < count) wish(type, false, count - got, zone);
  }
  return {
    rent,
    giveBack,
    capped,
    wanted: [...wanted].map(([type, need]) => ({ type, need })),
  };
};
