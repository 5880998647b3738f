/**
 * Directory of all shards: this node's own shards by their state, all others by the newest status from their owners.
 * Entries may be some seconds old. They serve only routing and planning, and never decide whether a task may start.
 */
import { DEBOUNCE_MS } from '../constants.js';
import { MIN_LOAD_DIFFERENCE, MIN_LOAD_RATIO, UNKNOWN_LOAD } from './constants.js';
import { loadIndex } from '../core/capacity/allocation-ratio.js';
import type { ShardLoad } from '../core/jobs/jobs.js';
import { fits, PRIORITY_RANK, fitCount, type JobSpec, type Resources } from '../core/model.js';
import { maxTasksPerZone, tasksThatFitZones } from '../core/placement/zones.js';
import type { MachineState, Shard } from '../core/shard/shard.js';
import type { PeerStatus, FreeCapacity } from './frames.js';

/** Newest statuses of the peers. */
export interface PeerStatuses {
  /** statuses that arrived lately */
  recent(): readonly PeerStatus[];
  /** the newest status of every peer, regardless of its age */
  latest(): readonly PeerStatus[];
  /** statuses of the peers that are reachable now */
  reachable(): readonly PeerStatus[];
}

type OwnedShards = ReadonlyMap<number, { readonly shard: Shard }>;

/** All priority ranks in ascending order. */
const RANKS = Object.values(PRIORITY_RANK).sort((a, b) => a - b);

/** Whether a task of the job fits into the capacity and satisfies its rank, machine type, zone and spot constraints. */
const isFeasible = (spec: JobSpec, capacity: FreeCapacity): boolean =>
  fits(spec.demand, capacity) &&
  PRIORITY_RANK[spec.priority] >= capacity.minimumRank &&
  (spec.types === null || spec.types.includes(capacity.type)) &&
  (spec.zone === null || spec.zone === capacity.zone) &&
  (!capacity.spot || spec.spot);

/** Returns how many tasks of the job fit together into feasible capacity, within its zone constraints. */
const tasksThatFit = (spec: JobSpec, feasible: readonly FreeCapacity[]): number => {
  const tasksByZone = new Map<string, number>();
  for (const capacity of feasible) {
    const tasks = fitCount(spec.demand, capacity) * capacity.count;
    tasksByZone.set(capacity.zone, (tasksByZone.get(capacity.zone) ?? 0) + tasks);
  }
  return tasksThatFitZones(spec, tasksByZone, () => maxTasksPerZone(spec));
};

/**
 * Lists the free capacity of a shard, with identical machines grouped: after many machines have booted at once, a
 * hundred of them may be free.
 */
const groupFreeCapacity = (shard: Shard, now: number): FreeCapacity[] => {
  const groups = new Map<string, FreeCapacity>();
  const add = (machine: MachineState, free: Resources, minimumRank: number) => {
    const { type, zone, spot } = machine.record;
    const { cpus, gpus, memoryGb } = free;
    const groupKey = `${type} ${zone} ${spot} ${minimumRank} ${cpus} ${gpus} ${memoryGb}`;
    const group = groups.get(groupKey);
    if (group === undefined) {
      const images = [...machine.images.keys()];
      groups.set(groupKey, {
        cpus,
        gpus,
        memoryGb,
        type,
        zone,
        spot,
        minimumRank,
        count: 1,
        images,
      });
      return;
    }
    group.count += 1;
    for (const image of machine.images.keys()) {
      if (!group.images.includes(image)) group.images.push(image);
    }
  };
  for (const machine of shard.machinesWithFreeCapacity(now)) add(machine, machine.free, 0);
  for (const { machine, rank } of shard.preemptibleMachines(now))
    if (machine.type !== null) add(machine, machine.type, rank);
  return [...groups.values()];
};

/** Answers queries about loads, free capacity, active tasks, job progress and cached images of all shards. */
export class ShardDirectory {
  /** by index: loads of this node's own shards as of its last broadcast status */
  readonly #ownLoads = new Map<number, number[]>();
  /** by index: free capacity of this node's own shards, computed within the last `DEBOUNCE_MS` */
  readonly #ownFreeCapacityCache = new Map<
    number,
    { shard: Shard; computedAt: number; capacities: readonly FreeCapacity[] }
  >();
  /** index of each peer's job progress by uid, since users query progress many times a second */
  readonly #progressIndexes = new WeakMap<PeerStatus['jobs'], Map<string, PeerStatus['jobs']>>();

  constructor(
    private readonly shardCount: number,
    private readonly owned: () => OwnedShards,
    private readonly peers: PeerStatuses,
    private readonly now: () => number,
  ) {}

  #ownShard(shard: number): Shard | undefined {
    return this.owned().get(shard)?.shard;
  }

  #announcedStatus(shard: number): PeerStatus['shards'][number] | undefined {
    for (const { shards } of this.peers.recent()) {
      const status = shards.find((candidate) => candidate.shard === shard);
      if (status !== undefined) return status;
    }
    return undefined;
  }

  #freeCapacity(shard: number): readonly FreeCapacity[] {
    const own = this.#ownShard(shard);
    return own === undefined
      ? (this.#announcedStatus(shard)?.freeCapacity ?? [])
      : this.#ownFreeCapacity(shard, own);
  }

  /** Cached for `DEBOUNCE_MS`: every submission of a burst queries it, and computing it visits every machine. */
  #ownFreeCapacity(index: number, shard: Shard): readonly FreeCapacity[] {
    const now = this.now();
    const cached = this.#ownFreeCapacityCache.get(index);
    if (cached !== undefined && cached.shard === shard && now - cached.computedAt < DEBOUNCE_MS)
      return cached.capacities;
    const capacities = groupFreeCapacity(shard, now);
    this.#ownFreeCapacityCache.set(index, { shard, computedAt: now, capacities });
    return capacities;
  }

  /**
   * Returns the status of one of this node's shards for a broadcast, and keeps its loads for routing. `detailed`
   * adds the images on each machine.
   */
  describeShard(index: number, shard: Shard, detailed: boolean): PeerStatus['shards'][number] {
    const now = this.now();
    const images = [...(detailed ? shard.machines.values() : [])]
      .filter((machine) => machine.images.size > 0)
      .map((machine) => ({
        machine: machine.record.name,
        images: [...machine.images.keys()],
        gb: [...machine.images.values()],
      }));
    const loads = shard.allocationRatios(now);
    this.#ownLoads.set(index, loads);
    const waiting = RANKS.map((rank) => shard.waitingTasks(rank, now));
    return {
      shard: index,
      loads,
      freeCapacity: groupFreeCapacity(shard, now),
      waiting,
      images,
      activeTasks: shard.activeTasksByClass(now),
    };
  }

  /** Returns the load of every shard for the job, and whether a task of it, or all of a gang, would fit there now. */
  loads(spec: JobSpec): ShardLoad[] {
    const rank = PRIORITY_RANK[spec.priority];
    const shardLoads: ShardLoad[] = [];
    for (let shard = 0; shard < this.shardCount; shard++) {
      const own = this.#ownShard(shard);
      // For own shards, too, the loads of the last broadcast are used, which are at most a second old: computing them
      // for each of many submissions would cost too much.
      const loads =
        own === undefined ? this.#announcedStatus(shard)?.loads : this.#ownLoads.get(shard);
      const load = loads?.[loadIndex(rank, spec.spot)] ?? UNKNOWN_LOAD;
      const fitting = this.#freeCapacity(shard).filter(
        (capacity) => capacity.minimumRank === 0 && isFeasible(spec, capacity),
      );
      const fitsNow = tasksThatFit(spec, fitting) >= (spec.kind === 'gang' ? spec.tasks : 1);
      const hasImage = fitsNow && fitting.some((capacity) => capacity.images.includes(spec.image));
      shardLoads.push({ shard, load, fitsNow, hasImage });
    }
    return shardLoads;
  }

  /**
   * Finds a shard other than `excluded` with capacity for at least `minimumTasks` tasks of the job, free or by
   * preemption, and returns how many fit together. Prefers a shard where a feasible machine has cached the job's image;
   * null if none has the capacity.
   */
  shardWithFreeCapacity(
    spec: JobSpec,
    excluded: number,
    minimumTasks: number,
  ): { shard: number; tasks: number } | null {
    const rank = PRIORITY_RANK[spec.priority];
    let best: { shard: number; tasks: number; hasImage: boolean } | null = null;
    for (let shard = 0; shard < this.shardCount; shard++) {
      if (shard === excluded) continue;
      // A shard with waiting tasks of this rank or a higher one needs its capacity for them.
      const own = this.#ownShard(shard);
      const waiting =
        own === undefined
          ? (this.#announcedStatus(shard)?.waiting[rank] ?? 1)
          : own.waitingTasks(rank, this.now());
      if (waiting > 0) continue;
      const feasible = this.#freeCapacity(shard).filter((capacity) => isFeasible(spec, capacity));
      const tasks = tasksThatFit(spec, feasible);
      if (tasks < minimumTasks) continue;
      const hasImage = feasible.some((capacity) => capacity.images.includes(spec.image));
      if (best === null || (hasImage && !best.hasImage)) best = { shard, tasks, hasImage };
    }
    return best;
  }

  /**
   * Returns the least loaded shard for the job if its load is so much lower than that of `reference` that the job
   * starts sooner there, although that shard has no free capacity now either. Null if there is none, or if the load
   * of `reference` or of every other shard is unknown.
   */
  lessAllocatedShard(spec: JobSpec, reference: number): number | null {
    const index = loadIndex(PRIORITY_RANK[spec.priority], spec.spot);
    const referenceLoad = this.#ownLoads.get(reference)?.[index];
    if (referenceLoad === undefined) return null;
    let leastLoaded: { shard: number; load: number } | null = null;
    for (let shard = 0; shard < this.shardCount; shard++) {
      const loads =
        this.#ownShard(shard) === undefined
          ? this.#announcedStatus(shard)?.loads
          : this.#ownLoads.get(shard);
      const load = loads?.[index];
      if (shard === reference || load === undefined) continue;
      if (leastLoaded === null || load < leastLoaded.load) leastLoaded = { shard, load };
    }
    if (leastLoaded === null) return null;
    const worthMigrating =
      referenceLoad >
      Math.max(leastLoaded.load * MIN_LOAD_RATIO, leastLoaded.load + MIN_LOAD_DIFFERENCE);
    return worthMigrating ? leastLoaded.shard : null;
  }

  /** Returns the number of tasks of each job class, waiting or placed, in all shards but `excluded`. */
  activeTasksElsewhere(excluded: number): Map<string, number> {
    const tasksByClass = new Map<string, number>();
    for (let shard = 0; shard < this.shardCount; shard++) {
      if (shard === excluded) continue;
      for (const { jobClass, tasks } of this.#ownShard(shard)?.activeTasksByClass(this.now()) ??
        this.#announcedStatus(shard)?.activeTasks ??
        []) {
        tasksByClass.set(jobClass, (tasksByClass.get(jobClass) ?? 0) + tasks);
      }
    }
    return tasksByClass;
  }

  /** Returns how many tasks of a job are done and how many are running, over all shards; for display. */
  progress(uid: string): { done: number; running: number } {
    let done = 0;
    let running = 0;
    for (const { shard } of this.owned().values()) {
      const counts = jobProgressInShard(shard, uid);
      done += counts.done;
      running += counts.running;
    }
    for (const { jobs } of this.peers.recent()) {
      for (const progress of this.#progressByUid(jobs).get(uid) ?? []) {
        if (this.owned().has(progress.shard)) continue;
        done += progress.done;
        running += progress.running;
      }
    }
    return { done, running };
  }

  /** Indexes a peer's list once: its array object stays the same until a new list arrives. */
  #progressByUid(jobs: PeerStatus['jobs']): Map<string, PeerStatus['jobs']> {
    let byUid = this.#progressIndexes.get(jobs);
    if (byUid === undefined) {
      byUid = new Map();
      for (const job of jobs) {
        const entries = byUid.get(job.uid);
        if (entries === undefined) byUid.set(job.uid, [job]);
        else entries.push(job);
      }
      this.#progressIndexes.set(jobs, byUid);
    }
    return byUid;
  }

  /** Returns the images, with their sizes in GB, that another owner of the machine has announced; empty if none. */
  imagesOf(machine: string): ReadonlyMap<string, number> {
    for (const { images } of this.peers.latest().flatMap((status) => status.shards)) {
      const cached = images.find((entry) => entry.machine === machine);
      if (cached !== undefined)
        return new Map(cached.images.map((image, index) => [image, cached.gb[index] ?? 0]));
    }
    return new Map();
  }

  /** Returns the reachable peer that receives heartbeats of most workers of the shard; null if none receives any. */
  peerReceivingHeartbeats(shard: number): string | null {
    let best: { node: string; workers: number } | null = null;
    for (const { node, observedWorkers } of this.peers.reachable()) {
      const workers = observedWorkers.find((observed) => observed.shard === shard)?.workers ?? 0;
      if (workers > (best?.workers ?? 0)) best = { node, workers };
    }
    return best?.node ?? null;
  }
}

/** Returns how many tasks of a job are done in a shard, saved or not, and how many are running there. */
export const jobProgressInShard = (
  shard: Shard,
  uid: string,
): { done: number; running: number } => {
  const job = shard.jobs.get(uid);
  if (job === undefined) return { done: 0, running: 0 };
  const done = job.savedCompletions.size + job.unsavedCompletions.size;
  return { done, running: job.runningTasks };
};
