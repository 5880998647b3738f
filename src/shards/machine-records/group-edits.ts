/**
 * Edits of a shard's machine groups, collected for one transaction. A group is the stored record of the
 * machines of one rental, so that a wave of boots or returns costs a few writes instead of one a machine.
 */
import { encodeMachineGroup, type MachineGroup } from '../../store/codecs/machine-group.js';
import { storeKey } from '../../store/keys.js';
import type { WatchCache } from '../../store/watch-cache.js';
import type { Guard, Write } from '@sumacstep/leader-election';
import { MACHINE_ENTRY_BYTES, MACHINE_GROUP_OVERHEAD_BYTES } from './constants.js';
import type { Transaction } from '../transaction.js';

interface GroupEdit {
  /** of the record that is edited */
  readonly revision: number;
  /** by machine: whether it is recorded as up */
  readonly machines: Map<string, boolean>;
  readonly group: MachineGroup;
}

/** How many machines fit one group's record, which must fit a value of the store; may be fractional. */
export const groupCapacity = (valueBytes: number): number =>
  (valueBytes - MACHINE_GROUP_OVERHEAD_BYTES) / MACHINE_ENTRY_BYTES;

/** Copies of the groups of one shard that a transaction changes, up to a limit of groups. */
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
   * The machines of the group that holds this one, to be changed in place. Null if the cache shows the machine
   * in no group of the shard, or if the transaction holds no further group.
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

  /** Whether an edited group still holds the machine. */
  holds(machine: string): boolean {
    for (const { machines } of this.#byGroup.values()) if (machines.has(machine)) return true;
    return false;
  }

  /** Writes the edited groups, and drops those that are empty, if none has changed in the store. */
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
