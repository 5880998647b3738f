import type { JobState, MachineState } from '../shard/types.js';
import { add, fitCount, ZERO_RESOURCES, type MachineType, type Resources } from '../model.js';
import { tasksAllowedInZone } from '../placement/zones.js';

/**
 * Room that a job could get on the machines of a shard, those that are still asked for included. A job
 * without any needs a machine of its own, however little work it is.
 */

/** A rental that has not been answered yet. */
export interface PendingRental {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly count: number;
}

/** Machines that are alike, up or asked for. */
interface MachineKind {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  count: number;
}

const mayUse = ({ spec }: JobState, type: string, spot: boolean): boolean =>
  (spec.spot || !spot) && (spec.types === null || spec.types.includes(type));

/** What a replica can take: others of its rank or a higher one never end, lower work can be stopped. */
const besideReplicas = (m: MachineState, job: JobState, preempts: boolean): Resources => {
  let room: Resources = m.type ?? ZERO_RESOURCES;
  for (const p of m.tasks.values()) {
    const stays =
      p.job.spec.kind === 'service' || !preempts || p.job.priorityRank >= job.priorityRank;
    if (stays) room = add(room, p.job.spec.demand, -1);
  }
  return room;
};

/** The machines of one plan, looked at for many waiting jobs. */
export class ReachableCapacity {
  readonly #asked: MachineKind[] = [];
  readonly #all: MachineKind[] = [];

  constructor(
    private readonly staying: readonly MachineState[],
    pending: readonly PendingRental[],
    types: ReadonlyMap<string, MachineType>,
    private readonly preempts: boolean,
    private readonly now: number,
  ) {
    for (const { type: name, zone, spot, count } of pending) {
      const type = types.get(name);
      if (type !== undefined) this.#asked.push({ type, zone, spot, count });
    }
    const kinds = new Map<string, MachineKind>();
    for (const { type, record } of staying) {
      if (type === null) continue;
      const { zone, spot } = record;
      const key = `${type.name} ${zone} ${spot}`;
      const kind = kinds.get(key) ?? { type, zone, spot, count: 0 };
      kind.count += 1;
      kinds.set(key, kind);
    }
    this.#all = [...kinds.values(), ...this.#asked];
  }

  /** Tasks of the job for which there is or will be room, within its constraints on zones. */
  tasksThatFit(job: JobState): number {
    const { spec } = job;
    const byZone = new Map<string, number>();
    const note = (zone: string, tasks: number) => byZone.set(zone, (byZone.get(zone) ?? 0) + tasks);
    const service = spec.kind === 'service';
    // Other work ends some time, so its machines count as a whole; replicas stay.
    for (const { type, zone, spot, count } of service ? this.#asked : this.#all) {
      if (mayUse(job, type.name, spot)) note(zone, fitCount(spec.demand, type) * count);
    }
    if (service || job.avoidedMachines.size > 0) this.#addByMachine(job, note);
    const rooms = [...byZone].map(([zone, tasks]) =>
      Math.min(tasks, tasksAllowedInZone(job, zone)),
    );
    return spec.oneZone ? Math.max(0, ...rooms) : rooms.reduce((sum, n) => sum + n, 0);
  }

  /** Adds what replicas find on each machine, or takes off the machines that the job avoids. */
  #addByMachine(job: JobState, note: (zone: string, tasks: number) => void): void {
    const { spec } = job;
    const service = spec.kind === 'service';
    for (const m of this.staying) {
      const { type, zone, spot, name } = { ...m.record, type: m.type };
      if (type === null || !mayUse(job, type.name, spot)) continue;
      const avoided = (job.avoidedMachines.get(name) ?? -Infinity) > this.now;
      if (!service && avoided) note(zone, -fitCount(spec.demand, type));
      if (!service || avoided) continue;
      note(zone, Math.max(0, fitCount(spec.demand, besideReplicas(m, job, this.preempts))));
    }
  }
}

/** The zone in which a job that finds no room should get a machine; null: any. */
export const zoneForNewMachines = (
  job: JobState,
  type: MachineType,
  staying: readonly MachineState[],
): string | null => {
  const { spec } = job;
  if (spec.zone !== null) return spec.zone;
  if (!spec.oneZone && !spec.spread) return null;
  const machines = (z: string) => staying.filter((m) => m.record.zone === z).length;
  const open = type.zones.filter((z) => tasksAllowedInZone(job, z) > 0);
  // A job of one zone grows where most is, one that spreads where least is.
  const sign = spec.oneZone ? -1 : 1;
  open.sort((a, b) => sign * (machines(a) - machines(b)) || (a < b ? -1 : 1));
  return open[0] ?? null;
};
