import { DEBOUNCE_MS } from '../constants.js';
import { BALANCE_MARGIN, BALANCE_RATIO, UNKNOWN_LOAD } from './constants.js';
import { loadIndex } from '../core/capacity/allocation-ratio.js';
import type { ShardLoad } from '../core/jobs/jobs.js';
import { fits, PRIORITY_RANK, timesIn, type JobSpec, type Resources } from '../core/model.js';
import type { MachineState, Shard } from '../core/shard/shard.js';
import type { PeerStatus, RoomStatus } from './frames.js';

/**
 * What this node knows of all shards: its own from their state, the others from what their owners said
 * last. Everything here may be some seconds old and is only used to route and to plan, never to decide
 * whether a task may start.
 */

/** The other nodes' last messages. */
export interface PeerStatuses {
  /** of every node heard of lately */
  heard(): readonly PeerStatus[];
  /** of every node, however old */
  latest(): readonly PeerStatus[];
  /** of the nodes in touch now */
  fresh(): readonly PeerStatus[];
}

type OwnedShards = ReadonlyMap<number, { readonly shard: Shard }>;

/** All ranks, the lowest first. */
const RANKS = Object.values(PRIORITY_RANK).sort((a, b) => a - b);

const roomFits = (spec: JobSpec, room: RoomStatus): boolean =>
  fits(spec.demand, room) &&
  PRIORITY_RANK[spec.priority] >= room.rank &&
  (spec.types === null || spec.types.includes(room.type)) &&
  (spec.zone === null || spec.zone === room.zone) &&
  (!room.spot || spec.spot);

/** Machines with room, those alike put together: after a boot wave there are a hundred of them. */
const roomsOf = (shard: Shard, now: number): RoomStatus[] => {
  const out = new Map<string, RoomStatus>();
  const note = (machine: MachineState, free: Resources, rank: number) => {
    const { type, zone, spot } = machine.record;
    const { cpus, gpus, memoryGb } = free;
    const alike = `${type} ${zone} ${spot} ${rank} ${cpus} ${gpus} ${memoryGb}`;
    const known = out.get(alike);
    if (known === undefined) {
      const images = [...machine.images.keys()];
      out.set(alike, { cpus, gpus, memoryGb, type, zone, spot, rank, count: 1, images });
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
  readonly #toldLoads = new Map<number, number[]>();
  /** the room of our own shards as of some moments ago */
  readonly #roomsLately = new Map<
    number,
    { of: Shard; at: number; rooms: readonly RoomStatus[] }
  >();
  /** what each node told of its jobs, by job: users ask many times a second */
  readonly #progressTold = new WeakMap<PeerStatus['jobs'], Map<string, PeerStatus['jobs']>>();

  constructor(
    private readonly shards: number,
    private readonly owned: () => OwnedShards,
    private readonly peers: PeerStatuses,
    private readonly now: () => number,
  ) {}

  #own(shard: number): Shard | undefined {
    return this.owned().get(shard)?.shard;
  }

  #told(shard: number): PeerStatus['parts'][number] | undefined {
    for (const { parts: shards } of this.peers.heard()) {
      const told = shards.find((p) => p.part === shard);
      if (told !== undefined) return told;
    }
    return undefined;
  }

  #rooms(shard: number): readonly RoomStatus[] {
    const own = this.#own(shard);
    return own === undefined ? (this.#told(shard)?.rooms ?? []) : this.#ownRooms(shard, own);
  }

  /** Looking through the machines takes time, and a burst of submissions asks again and again. */
  #ownRooms(index: number, shard: Shard): readonly RoomStatus[] {
    const now = this.now();
    const known = this.#roomsLately.get(index);
    if (known !== undefined && known.of === shard && now - known.at < DEBOUNCE_MS)
      return known.rooms;
    const rooms = roomsOf(shard, now);
    this.#roomsLately.set(index, { of: shard, at: now, rooms });
    return rooms;
  }

  /** What the others are told of one of this node's shards; `detailed` adds its machines' images. */
  describe(index: number, shard: Shard, detailed: boolean): PeerStatus['parts'][number] {
    const now = this.now();
    const images = [...(detailed ? shard.machines.values() : [])]
      .filter((m) => m.images.size > 0)
      .map((m) => ({
        machine: m.record.name,
        images: [...m.images.keys()],
        gb: [...m.images.values()],
      }));
    const loads = shard.allocationRatios(now);
    this.#toldLoads.set(index, loads);
    const waiting = RANKS.map((rank) => shard.waitingTasks(rank, now));
    return {
      part: index,
      loads,
      rooms: roomsOf(shard, now),
      waiting,
      images,
      busy: shard.activeTasksByClass(now),
    };
  }

  /** The load of every shard for the job, and whether it would find room there now. */
  loads(spec: JobSpec): ShardLoad[] {
    const rank = PRIORITY_RANK[spec.priority];
    const out: ShardLoad[] = [];
    for (let shard = 0; shard < this.shards; shard++) {
      const own = this.#own(shard);
      // Our own figures are as old as those of the others, at most a second: submissions are many.
      const loads = own === undefined ? this.#told(shard)?.loads : this.#toldLoads.get(shard);
      const load = loads?.[loadIndex(rank, spec.spot)] ?? UNKNOWN_LOAD;
      const fitting = this.#rooms(shard).filter((r) => r.rank === 0 && roomFits(spec, r));
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
      const own = this.#own(shard);
      const waiting =
        own === undefined
          ? (this.#told(shard)?.waiting[rank] ?? 1)
          : own.waitingTasks(rank, this.now());
      if (waiting > 0) continue;
      const rooms = this.#rooms(shard).filter((r) => roomFits(spec, r));
      const tasks = rooms.reduce((sum, r) => sum + timesIn(spec.demand, r) * r.count, 0);
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
    const own = this.#toldLoads.get(than)?.[index];
    if (own === undefined) return null;
    let least: { shard: number; load: number } | null = null;
    for (let shard = 0; shard < this.shards; shard++) {
      const loads =
        this.#own(shard) === undefined ? this.#told(shard)?.loads : this.#toldLoads.get(shard);
      const load = loads?.[index];
      if (shard === than || load === undefined) continue;
      if (least === null || load < least.load) least = { shard, load };
    }
    if (least === null) return null;
    const worthIt = own > Math.max(least.load * BALANCE_RATIO, least.load + BALANCE_MARGIN);
    return worthIt ? least.shard : null;
  }

  /** Tasks of each class, waiting or placed, in all shards but one. */
  busyElsewhere(not: number): Map<string, number> {
    const out = new Map<string, number>();
    for (let shard = 0; shard < this.shards; shard++) {
      if (shard === not) continue;
      for (const { jobClass, tasks } of this.#own(shard)?.activeTasksByClass(this.now()) ??
        this.#told(shard)?.busy ??
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
      const counts = progressIn(shard, uid);
      done += counts.done;
      running += counts.running;
    }
    for (const { jobs } of this.peers.heard()) {
      for (const told of this.#byUid(jobs).get(uid) ?? []) {
        if (this.owned().has(told.part)) continue;
        done += told.done;
        running += told.running;
      }
    }
    return { done, running };
  }

  /** The list is the same until the node tells another one. */
  #byUid(jobs: PeerStatus['jobs']): Map<string, PeerStatus['jobs']> {
    let byUid = this.#progressTold.get(jobs);
    if (byUid === undefined) {
      byUid = new Map();
      for (const job of jobs) {
        const same = byUid.get(job.uid);
        if (same === undefined) byUid.set(job.uid, [job]);
        else same.push(job);
      }
      this.#progressTold.set(jobs, byUid);
    }
    return byUid;
  }

  /** Images that another owner knew on a machine, with their sizes. */
  imagesOf(machine: string): ReadonlyMap<string, number> {
    for (const { images } of this.peers.latest().flatMap((s) => s.parts)) {
      const known = images.find((i) => i.machine === machine);
      if (known !== undefined) return new Map(known.images.map((n, i) => [n, known.gb[i] ?? 0]));
    }
    return new Map();
  }

  /** The node in touch to which most workers of the shard report. */
  hearsMost(shard: number): string | null {
    let best: { node: string; workers: number } | null = null;
    for (const s of this.peers.fresh()) {
      const workers = s.sightings.find((x) => x.part === shard)?.workers ?? 0;
      if (workers > (best?.workers ?? 0)) best = { node: s.node, workers };
    }
    return best?.node ?? null;
  }
}

/** Tasks of a job in one shard that are done, saved or not, and that run. */
export const progressIn = (shard: Shard, uid: string): { done: number; running: number } => {
  const job = shard.jobs.get(uid);
  if (job === undefined) return { done: 0, running: 0 };
  const running = [...job.placements.values()].filter((p) => p.state === 'running').length;
  return { done: job.savedTasks.size + job.unsavedTasks.size, running };
};
