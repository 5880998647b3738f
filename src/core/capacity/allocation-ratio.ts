import { PRIORITY_RANK, RESOURCE_KINDS, type Resources } from '../model.js';
import { tasksNeedingCapacity } from '../reachability/failure-tracker.js';
import { isLeaving } from '../reachability/machine-health.js';
import type { MachineState } from '../shard/types.js';
import type { ShardState } from '../shard/shard-state.js';

/**
 * How much of a shard is booked, for the routing of new jobs: by rank, since a job waits only behind work
 * that it cannot displace, and by whether it may use spot machines.
 */

const RANK_COUNT = Object.keys(PRIORITY_RANK).length;

/** Where the share for a job is found in the list of shares. */
export const loadIndex = (rank: number, spot: boolean): number => rank * 2 + Number(spot);

interface Amounts {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

const none = (): Amounts => ({ cpus: 0, gpus: 0, memoryGb: 0 });
const noneByRank = (): Amounts[] => Array.from({ length: RANK_COUNT }, none);

const addTo = (sum: Amounts, amount: Resources, times = 1): void => {
  for (const k of RESOURCE_KINDS) sum[k] += amount[k] * times;
};

/** Machines of one kind, ordinary or spot: what they have, and what is booked there by rank. */
interface KindOfMachines {
  readonly capacity: Amounts;
  readonly booked: Amounts[];
}

const countsForRouting = (state: ShardState, m: MachineState, now: number): boolean => {
  const goes = isLeaving(m) || m.preemptionAt !== null;
  return !goes && (!m.everConfirmed || state.health.isFresh(m, now));
};

/**
 * Booked shares of the shard, waiting tasks included: for each rank the largest over the resources, first on
 * ordinary machines alone and then on all. One look at every machine, task and job.
 */
export const allocationRatios = (state: ShardState, now: number): number[] => {
  const ordinary: KindOfMachines = { capacity: none(), booked: noneByRank() };
  const spot: KindOfMachines = { capacity: none(), booked: noneByRank() };
  for (const m of state.machines.values()) {
    if (m.type === null || !countsForRouting(state, m, now)) continue;
    const kind = m.record.spot ? spot : ordinary;
    addTo(kind.capacity, m.type);
    for (const { job } of m.tasks.values()) addTo(kind.booked[job.priorityRank]!, job.spec.demand);
  }
  const waiting = noneByRank();
  for (const job of state.jobs.values()) {
    addTo(waiting[job.priorityRank]!, job.spec.demand, tasksNeedingCapacity(job, now));
  }
  const shares: number[] = [];
  for (let rank = 0; rank < RANK_COUNT; rank++) {
    const least = state.settings.preempt ? rank : 0;
    for (const kinds of [[ordinary], [ordinary, spot]]) {
      const booked = [waiting, ...kinds.map((kind) => kind.booked)];
      shares.push(largestShare(booked, kinds, least, state.largestCapacity));
    }
  }
  return shares;
};

/** Of what ranks from `least` on have booked, by resource; the largest share counts. */
const largestShare = (
  bookedByRank: readonly (readonly Amounts[])[],
  kinds: readonly KindOfMachines[],
  least: number,
  largest: Resources,
): number => {
  const capacity = none();
  for (const kind of kinds) addTo(capacity, kind.capacity);
  const booked = none();
  for (const byRank of bookedByRank) {
    for (const amounts of byRank.slice(least)) addTo(booked, amounts);
  }
  // A shard without machines counts as one machine: what is booked there still tells shards apart.
  const share = (k: keyof Amounts) =>
    booked[k] === 0 ? 0 : booked[k] / Math.max(capacity[k], largest[k]);
  return Math.max(...RESOURCE_KINDS.map(share));
};
