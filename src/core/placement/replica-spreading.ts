/** The order of the candidate machines for the replicas of one service within one scheduling pass. */
import type { Resources } from '../model.js';
import type { JobState, MachineState } from '../shard/types.js';
import { UnusedVolumeIndex } from './unused-volume-index.js';

/** Machines that are equally good for the next replica, apart from their unused volume. */
interface MachineGroup {
  /** see `preferenceOf` */
  readonly preference: number;
  readonly machines: UnusedVolumeIndex;
}

/**
 * Returns a number that is smaller for machines that come earlier: machines with less than half of the replicas come
 * first, then those that hold the image, then those with fewer replicas.
 */
const preferenceOf = (machine: MachineState, job: JobState): number => {
  const { image, tasks } = job.spec;
  const replicas = machine.tasksByJob.get(job) ?? 0;
  const hasHalf = Number(replicas >= Math.ceil(tasks / 2));
  const lacksImage = Number(!machine.images.has(image));
  return (hasHalf * 2 + lacksImage) * (tasks + 1) + replicas;
};

/**
 * Chooses the machines for the replicas of a service, of equally preferred ones that with the least unused volume.
 * `put` or `remove` must be called for a machine whenever its tasks have changed.
 */
export class ReplicaSpreading {
  /** in ascending order of `preference`; none is empty */
  readonly #groups: MachineGroup[] = [];
  readonly #groupOf = new Map<MachineState, MachineGroup>();

  constructor(
    readonly job: JobState,
    machines: Iterable<MachineState>,
    private readonly largest: Resources,
  ) {
    const byPreference = new Map<number, MachineState[]>();
    for (const machine of machines) {
      const preference = preferenceOf(machine, job);
      const group = byPreference.get(preference);
      if (group === undefined) byPreference.set(preference, [machine]);
      else group.push(machine);
    }
    for (const preference of [...byPreference.keys()].sort((a, b) => a - b)) {
      const members = byPreference.get(preference)!;
      const group = { preference, machines: new UnusedVolumeIndex(members, largest) };
      this.#groups.push(group);
      for (const machine of members) this.#groupOf.set(machine, group);
    }
  }

  /** Adds the machine, or moves it to the position of its present replicas and free capacity. */
  put(machine: MachineState): void {
    this.remove(machine);
    const group = this.#findOrAddGroup(preferenceOf(machine, this.job));
    group.machines.put(machine);
    this.#groupOf.set(machine, group);
  }

  /** Removes the machine if it is a candidate. */
  remove(machine: MachineState): void {
    const group = this.#groupOf.get(machine);
    if (group === undefined) return;
    this.#groupOf.delete(machine);
    group.machines.remove(machine);
    if (group.machines.size === 0) this.#groups.splice(this.#groups.indexOf(group), 1);
  }

  /** Returns the best machine among those that `accepts` returns true for, all of which the demand has to fit. */
  bestMachine(demand: Resources, accepts: (machine: MachineState) => boolean): MachineState | null {
    for (const { machines } of this.#groups) {
      const machine = machines.leastUnused(demand, accepts);
      if (machine !== null) return machine;
    }
    return null;
  }

  #findOrAddGroup(preference: number): MachineGroup {
    const found = this.#groups.findIndex((group) => group.preference >= preference);
    const position = found < 0 ? this.#groups.length : found;
    const present = this.#groups[position];
    if (present?.preference === preference) return present;
    const added = { preference, machines: new UnusedVolumeIndex([], this.largest) };
    this.#groups.splice(position, 0, added);
    return added;
  }
}
