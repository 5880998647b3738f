/**
 * Edits of a shard's machine groups, collected for one transaction. A group is one stored record of the machines of
 * one rental, so that many machines that boot or are returned together cost a few writes instead of one each.
 */
import { encodeMachineGroup, type MachineGroup } from '../../store/codecs/machine-group.js';
import { storeKey } from '../../store/keys.js';
import type { WatchCache } from '../../store/watch-cache.js';
import type { Guard, Write } from '@sumacstep/leader-election';
import { MACHINE_ENTRY_BYTES, MACHINE_GROUP_OVERHEAD_BYTES } from './constants.js';
import type { Transaction } from '../transaction.js';

/** A changed copy of one group. */
interface GroupEdit {
  /** revision of the stored record that was copied */
  readonly revision: number;
  /** the changed machines by name; true: recorded as up */
  readonly machines: Map<string, boolean>;
  /** the record to be written, which holds `machines` */
  readonly group: MachineGroup;
}

/** Returns how many machines fit a group whose record is one value of the store; may be fractional. */
export const groupCapacity = (valueBytes: number): number =>
  (valueBytes - MACHINE_GROUP_OVERHEAD_BYTES) / MACHINE_ENTRY_BYTES;

/** Collects the changed groups of one shard for a transaction that may hold `groupLimit` groups. */
export class GroupEdits {
  readonly #byGroup = new Map<string, GroupEdit>();

  constructor(
    private readonly cache: Pick<WatchCache, 'machines' | 'tables'>,
    private readonly shard: number,
    private readonly groupLimit: number,
  ) {}

  get isEmpty(): boolean {
    return this.#byGroup.size === 0;
  }

  /**
   * Returns the machines of the group that holds `machine`, to be changed in place. Null if the cache shows the
   * machine in no group of the shard, or if the transaction is full and does not hold its group yet.
   */
  edit(machine: string): Map<string, boolean> | null {
    const cached = this.cache.machines.get(machine);
    if (cached?.value.shard !== this.shard) return null;
    let edit = this.#byGroup.get(cached.group);
    if (edit === undefined) {
      const record = this.cache.tables.machineGroups.get(cached.group);
      if (record === undefined || this.#byGroup.size >= this.groupLimit) return null;
      const machines = new Map(record.value.machines);
      edit = { revision: record.revision, machines, group: { ...record.value, machines } };
      this.#byGroup.set(cached.group, edit);
    }
    return edit.machines;
  }

  /** Whether any edited group holds the machine after its changes. */
  holds(machine: string): boolean {
    for (const { machines } of this.#byGroup.values()) if (machines.has(machine)) return true;
    return false;
  }

  /** Returns the transaction that writes the edited groups, and deletes empty ones, if the store has none newer. */
  transaction(): Transaction {
    const guards: Guard[] = [];
    const writes: Write[] = [];
    for (const [id, { revision, machines, group }] of this.#byGroup) {
      const name = storeKey.machineGroup(id);
      guards.push({ key: name, revision });
      if (machines.size === 0) writes.push({ drop: name });
      else writes.push({ put: name, value: encodeMachineGroup(group) });
    }
    return { guards, writes };
  }
}
