import { DEBOUNCE_MS } from '../constants.js';
import { MIN_LOAD_DIFFERENCE, MIN_LOAD_RATIO, UNKNOWN_LOAD } from './constants.js';
import { loadIndex } from '../core/capacity/allocation-ratio.js';
import type { ShardLoad } from '../core/jobs/jobs.js';
import { fits, PRIORITY_RANK, fitCount, type JobSpec, type Resources } from '../core/model.js';
import type { MachineState, Shard } from '../core/shard/shard.js';
import type { PeerStatus, FreeCapacity } from './frames.js';

/**
 * What this node knows of all shards: its own from their state, the others from what their owners said
 * last. Everything here may be some seconds old and is only used to route and to plan, never to decide
 * whether a task may start.
 */

/** The other nodes' last messages. */
export interface PeerStatuses {
  /** of every node heard of lately */
  recent(): readonly PeerStatus[];
  /** of every node, however old */
  latest(): readonly PeerStatus[];
  /** of the nodes in touch now */
  reachable(): readonly PeerStatus[];
}

type OwnedShards = ReadonlyMap<number, { readonly shard: Shard }>;

/** All ranks, the lowest first. */
const RANKS = Object.values(PRIORITY_RANK).sort((a, b) => a - b);

const isFeasible = (spec: JobSpec, room: FreeCapacity): boolean =>
  fits(spec.demand, room) &&
  PRIORITY_RANK[spec.priority] >= room.minimumRank &&
  (spec.types === null || spec.types.includes(room.type)) &&
  (spec.zone === null || spec.zone === room.zone) &&
  (!room.spot || spec.spot);

/** Machines with room, those alike put together: after a boot wave there are a hundred of them. */
const groupFreeCapacity = (shard: Shard, now: number): FreeCapacity[] => {
  const out = new Map<string, FreeCapacity>();
  const note = (machine: MachineState, free: Resources, rank: number) => {
    const { type, zone, spot } = machine.record;
    const { cpus, gpus, memoryGb } = free;
    const alike = `${type} ${zone} ${spot} ${rank} ${cpus} ${gpus} ${memoryGb}`;
    const known = out.get(alike);
    if (known === undefined) {
      const images = [...machine.images.keys()];
      out.set(alike, {
        cpus,
        gpus,
        memoryGb,
        type,
        zone,
        spot,
        minimumRank: rank,
        count: 1,
        images,
      });
      return;
    }
    known.count += 1;
    for (const image of machine.images.keys()) {
      if (!known.images.includes(image)) known.images.push(image);
    }
  };
  for (const machine of shard.machinesWithFreeCapacity(now)) note(machine, machine.free, 0);
  for (const { machine: m, rank } of shard.preemptibleMachines(now))
    if (m.type !== null) note(m, m.type, rank);
  return [...out.values()];
};

/** Loads, room and progress of all shards. */
export class ShardDirectory {
  /** the loads of our own shards as last told to the others */
  readonly #ownLoads = new Map<number, number[]>();
  /** the room of our own shards as of some moments ago */
  readonly #ownFreeCapacityCache = new Map<
    number,
    { of: Shard; at: number; rooms: readonly FreeCapacity[] }
  >();
  /** what each node told of its jobs, by job: users ask many times a second */
  readonly #progressIndexes = new WeakMap<PeerStatus['jobs'], Map<string, PeerStatus['jobs']>>();

  constructor(
    private readonly shards: number,
    private readonly owned: () => OwnedShards,
    private readonly peers: PeerStatuses,
    private readonly now: () => number,
  ) {}

  #ownShard(shard: number): Shard | undefined {
    return this.owned().get(shard)?.shard;
  }

  #announcedStatus(shard: number): PeerStatus['shards'][number] | undefined {
    for (const { shards } of this.peers.recent()) {
      const told = shards.find((p) => p.shard === shard);
      if (told !== undefined) return told;
    }
    return undefined;
  }

  #freeCapacity(shard: number): readonly FreeCapacity[] {
    const own = this.#ownShard(shard);
    return own === undefined
      ? (this.#announcedStatus(shard)?.freeCapacity ?? [])
      : this.#ownFreeCapacity(shard, own);
  }

  /** Looking through the machines takes time, and a burst of submissions asks again and again. */
  #ownFreeCapacity(index: number, shard: Shard): readonly FreeCapacity[] {
    const now = this.now();
    const known = this.#ownFreeCapacityCache.get(index);
    if (known !== undefined && known.of === shard && now - known.at < DEBOUNCE_MS)
      return known.rooms;
    const rooms = groupFreeCapacity(shard, now);
    this.#ownFreeCapacityCache.set(index, { of: shard, at: now, rooms });
    return rooms;
  }

  /** What the others are told of one of this node's shards; `detailed` adds its machines' images. */
  describeShard(index: number, shard: Shard, detailed: boolean): PeerStatus['shards'][number] {
    const now = this.now();
    const images = [...(detailed ? shard.machines.values() : [])]
      .filter((m) => m.images.size > 0)
      .map((m) => ({
        machine: m.record.name,
        images: [...m.images.keys()],
        gb: [...m.images.values()],
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

  /** The load of every shard for the job, and whether it would find room there now. */
  loads(spec: JobSpec): ShardLoad[] {
    const rank = PRIORITY_RANK[spec.priority];
    const out: ShardLoad[] = [];
    for (let shard = 0; shard < this.shards; shard++) {
      const own = this.#ownShard(shard);
      // Our own figures are as old as those of the others, at most a second: submissions are many.
      const loads =
        own === undefined ? this.#announcedStatus(shard)?.loads : this.#ownLoads.get(shard);
      const load = loads?.[loadIndex(rank, spec.spot)] ?? UNKNOWN_LOAD;
      const fitting = this.#freeCapacity(shard).filter(
        (r) => r.minimumRank === 0 && isFeasible(spec, r),
      );
      const hasImage = fitting.some((r) => r.images.includes(spec.image));
      out.push({ shard, load, fitsNow: fitting.length > 0, hasImage });
    }
    return out;
  }

  /** The shard other than `not` with room for the job, rather one that holds its image. */
  capacityElsewhere(spec: JobSpec, not: number): { shard: number; tasks: number } | null {
    const rank = PRIORITY_RANK[spec.priority];
    let best: { shard: number; tasks: number; image: boolean } | null = null;
    for (let shard = 0; shard < this.shards; shard++) {
      if (shard === not) continue;
      // A shard with tasks of its own waiting, of this rank or above, has no room to offer.
      const own = this.#ownShard(shard);
      const waiting =
        own === undefined
          ? (this.#announcedStatus(shard)?.waiting[rank] ?? 1)
          : own.waitingTasks(rank, this.now());
      if (waiting > 0) continue;
      const rooms = this.#freeCapacity(shard).filter((r) => isFeasible(spec, r));
      const tasks = rooms.reduce((sum, r) => sum + fitCount(spec.demand, r) * r.count, 0);
      const image = rooms.some((r) => r.images.includes(spec.image));
      if (tasks === 0) continue;
      if (best === null || (image && !best.image)) best = { shard, tasks, image };
    }
    return best;
  }

  /**
   * The least booked shard for the job, if it is booked so much less than `than` that the job begins
   * sooner there although it has no room now either. Null if none is, or too little is known.
   */
  lessAllocated(spec: JobSpec, than: number): number | null {
    const index = loadIndex(PRIORITY_RANK[spec.priority], spec.spot);
    const own = this.#ownLoads.get(than)?.[index];
    if (own === undefined) return null;
    let least: { shard: number; load: number } | null = null;
    for (let shard = 0; shard < this.shards; shard++) {
      const loads =
        this.#ownShard(shard) === undefined
          ? this.#announcedStatus(shard)?.loads
          : this.#ownLoads.get(shard);
      const load = loads?.[index];
      if (shard === than || load === undefined) continue;
      if (least === null || load < least.load) least = { shard, load };
    }
    if (least === null) return null;
    const worthIt = own > Math.max(least.load * MIN_LOAD_RATIO, least.load + MIN_LOAD_DIFFERENCE);
    return worthIt ? least.shard : null;
  }

  /** Tasks of each class, waiting or placed, in all shards but one. */
  activeTasksElsewhere(not: number): Map<string, number> {
    const out = new Map<string, number>();
    for (let shard = 0; shard < this.shards; shard++) {
      if (shard === not) continue;
      for (const { jobClass, tasks } of this.#ownShard(shard)?.activeTasksByClass(this.now()) ??
        this.#announcedStatus(shard)?.activeTasks ??
        []) {
        out.set(jobClass, (out.get(jobClass) ?? 0) + tasks);
      }
    }
    return out;
  }

  /** Counts of a job's tasks that are done and that run, for display. */
  progress(uid: string): { done: number; running: number } {
    let done = 0;
    let running = 0;
    for (const { shard } of this.owned().values()) {
      const counts = jobProgressInShard(shard, uid);
      done += counts.done;
      running += counts.running;
    }
    for (const { jobs } of this.peers.recent()) {
      for (const told of this.#progressByUid(jobs).get(uid) ?? []) {
        if (this.owned().has(told.shard)) continue;
        done += told.done;
        running += told.running;
      }
    }
    return { done, running };
  }

  /** The list is the same until the node tells another one. */
  #progressByUid(jobs: PeerStatus['jobs']): Map<string, PeerStatus['jobs']> {
    let byUid = this.#progressIndexes.get(jobs);
    if (byUid === undefined) {
      byUid = new Map();
      for (const job of jobs) {
        const same = byUid.get(job.uid);
        if (same === undefined) byUid.set(job.uid, [job]);
        else same.push(job);
      }
      this.#progressIndexes.set(jobs, byUid);
    }
    return byUid;
  }

  /** Images that another owner knew on a machine, with their sizes. */
  imagesOf(machine: string): ReadonlyMap<string, number> {
    for (const { images } of this.peers.latest().flatMap((s) => s.shards)) {
      const known = images.find((i) => i.machine === machine);
      if (known !== undefined) return new Map(known.images.map((n, i) => [n, known.gb[i] ?? 0]));
    }
    return new Map();
  }

  /** The node in touch to which most workers of the shard report. */
  peerReceivingHeartbeats(shard: number): string | null {
    let best: { node: string; workers: number } | null = null;
    for (const s of this.peers.reachable()) {
      const workers = s.observedWorkers.find((x) => x.shard === shard)?.workers ?? 0;
      if (workers > (best?.workers ?? 0)) best = { node: s.node, workers };
    }
    return best?.node ?? null;
  }
}

/** Tasks of a job in one shard that are done, saved or not, and that run. */
export const jobProgressInShard = (
  shard: Shard,
  uid: string,
): { done: number; running: number } => {
  const job = shard.jobs.get(uid);
  if (job === undefined) return { done: 0, running: 0 };
  const running = [...job.placements.values()].filter((p) => p.state === 'running').length;
  return { done: job.savedCompletions.size + job.unsavedCompletions.size, running };
};
