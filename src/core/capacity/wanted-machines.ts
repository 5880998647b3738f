import { IGNORED_MACHINE_FRACTION, DEFAULT_RUN_S } from './constants.js';
import { feasibleTypes } from '../jobs/admission.js';
import { tasksNeedingCapacity } from '../reachability/failure-tracker.js';
import type { ClassStats } from './workload-statistics.js';
import {
  dominantShare,
  fitCount,
  type JobSpec,
  type MachineType,
  type Objective,
} from '../model.js';
import type { Shard } from '../shard/shard.js';

/** How many machines of each type a shard needs, by its work and by what is learned of the classes. */

/** What a shard's need of machines follows from. */
export interface DemandInput {
  readonly shard: Shard;
  /** number of shards, which share what is kept ready */
  readonly shardCount: number;
  readonly types: ReadonlyMap<string, MachineType>;
  readonly objectives: readonly Objective[];
  readonly classStats: ReadonlyMap<string, ClassStats>;
  /** tasks of each class in the other shards, waiting or placed */
  readonly activeTasksElsewhere: ReadonlyMap<string, number>;
  /** jobs that were told to come back: their machines are rented before they are accepted */
  readonly expectedJobs: readonly JobSpec[];
  readonly reserveSigma: number;
  readonly drainS: number;
  /** steady ms */
  readonly now: number;
}

/** Machines of one type that a shard needs. */
export interface TypeNeed {
  /** for jobs that may not use spot machines */
  ordinary: number;
  /** for all others, if spot machines can be had */
  spot: number;
  /** for all others, if they cannot: dearer machines have to be worth it */
  instead: number;
}

/** Whole machines for the need, a small fraction of one aside. */
export const wholeMachines = (need: number): number =>
  Math.max(0, Math.ceil(need - IGNORED_MACHINE_FRACTION));

/** Classes whose tasks must start sooner than a machine boots need machines kept ready. */
export const isUrgent = (
  jobClass: string,
  objectives: readonly Objective[],
  bootS: number,
): boolean =>
  objectives.some((o) => o.kind === 'wait' && o.jobClass === jobClass && o.withinS < bootS);

/** The type on which the job costs least; null if none fits. */
export const cheapestType = (spec: JobSpec, types: Iterable<MachineType>): MachineType | null => {
  let best: MachineType | null = null;
  let bestPrice = Infinity;
  for (const t of feasibleTypes(spec, types)) {
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

const needsByClass = (input: DemandInput): Map<string, ClassNeed> => {
  const needs = new Map<string, ClassNeed>();
  const note = (spec: JobSpec, running: number, waiting: number): void => {
    let need = needs.get(spec.jobClass);
    if (need === undefined) {
      const type = cheapestType(spec, input.types.values());
      if (type === null) return;
      need = { spec, type, running: 0, waiting: 0 };
      needs.set(spec.jobClass, need);
    }
    need.running += running;
    need.waiting += waiting;
  };
  for (const job of input.shard.jobs.values()) {
    if (!job.ended) note(job.spec, job.placements.size, tasksNeedingCapacity(job, input.now));
  }
  for (const spec of input.expectedJobs) note(spec, 0, spec.tasks);
  // Classes known from other shards or earlier times need their reserve here as well.
  for (const [name, s] of input.classStats) {
    if (needs.has(name) || s.sample === null) continue;
    const type = cheapestType(s.sample, input.types.values());
    if (type !== null) needs.set(name, { spec: s.sample, type, running: 0, waiting: 0 });
  }
  return needs;
};

/** s; how long a class's waiting work may take on machines that are dear: what its aims leave. */
const patience = (name: string, need: ClassNeed, runS: number, input: DemandInput): number => {
  const within = input.objectives
    .filter((o) => o.kind === 'finished' && o.jobClass === name)
    .map((o) => o.withinS);
  if (within.length === 0) return input.drainS;
  return Math.max(input.drainS, Math.min(...within) - runS - need.type.bootS);
};

/**
 * Machines that a shard needs: by the square-root rule for urgent classes (expected tasks at once
 * plus some standard deviations), and by the work to be drained for the others.
 */
export const wantedMachines = (input: DemandInput): Map<string, TypeNeed> => {
  const out = new Map<string, TypeNeed>();
  /** reserve that lower ranks may fill until it is needed */
  let slack = 0;
  for (const [name, need] of needsByClass(input)) {
    const s = input.classStats.get(name);
    const runS = s?.runS ?? (need.spec.estimateS > 0 ? need.spec.estimateS : DEFAULT_RUN_S);
    const perMachine = Math.max(1, fitCount(need.spec.demand, need.type));
    // Replicas never end, so their run time says nothing: what may arrive while a machine boots counts.
    const service = need.spec.kind === 'service';
    const whole = (s?.tasksPerS ?? 0) * (service ? need.type.bootS : runS);
    const atOnce = whole / input.shardCount;
    const elsewhere = input.activeTasksElsewhere.get(name) ?? 0;
    const busy = need.running + need.waiting;
    const t = out.get(need.type.name) ?? { ordinary: 0, spot: 0, instead: 0 };
    out.set(need.type.name, t);
    let soon: number;
    let patient: number;
    if (isUrgent(name, input.objectives, need.type.bootS) || need.spec.kind !== 'array') {
      // What is to be kept beyond the work that is there is shared by the shards: if each kept its
      // share of the whole, the shards with more work than others would come on top.
      const there = service ? 0 : busy + elsewhere;
      const kept = whole + input.reserveSigma * Math.sqrt(whole) - there;
      soon = patient = busy + Math.max(0, kept) / input.shardCount;
      if (input.shard.preemptionEnabled) slack += Math.max(0, soon - busy) / perMachine;
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
