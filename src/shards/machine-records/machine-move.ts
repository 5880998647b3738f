/** The transaction that moves machines from one shard to another. */
import { encodeMachineGroup, type MachineGroup } from '../../store/codecs/machine-group.js';
import { storeKey } from '../../store/keys.js';
import type { WatchCache } from '../../store/watch-cache.js';

import type { Guard, Write } from '@sumacstep/leader-election';
import { isSameKind, type MachineKind } from '../machine-kind.js';
import type { StoreSizeLimits, Transaction } from '../transaction.js';
import { groupCapacity, GroupEdits } from './group-edits.js';

/** writes of a move besides the groups that machines leave: their new group, and the move itself */
const MOVE_WRITES = 2;

/** Where machines move to, and what is written along with it. */
export interface MoveTarget {
  readonly shard: number;
  readonly term: number;
  /** the target shard's record as it is known */
  readonly shardGuard: Guard;
  /** the new group that holds them */
  readonly group: string;
  readonly guards: readonly Guard[];
  readonly writes: (moved: readonly string[]) => readonly Write[];
}

/** A transaction, and the machines that it moves. */
export interface MachineMove {
  readonly transaction: Transaction;
  readonly moved: readonly string[];
}

/** Takes machines of one kind out of their groups, as many as one transaction and one new group hold. */
const takeFromGroups = (
  cache: Pick<WatchCache, 'machines'>,
  edits: GroupEdits,
  names: readonly string[],
  capacity: number,
): { readonly kind: MachineKind; readonly moved: readonly string[] } | null => {
  const moved: string[] = [];
  let kind: MachineKind | null = null;
  for (const name of names) {
    const machine = cache.machines.get(name)?.value;
    if (machine === undefined || moved.length >= capacity) continue;
    if (kind !== null && !isSameKind(kind, machine)) continue;
    const groupMachines = edits.edit(name);
    if (groupMachines === null) continue;
    kind ??= machine;
    groupMachines.delete(name);
    moved.push(name);
  }
  return kind === null ? null : { kind, moved };
};

/** Plans a move of as many of the machines as one transaction holds; null if none can move. */
export const planMove = (
  cache: Pick<WatchCache, 'machines' | 'tables'>,
  { transactionOps, valueBytes }: StoreSizeLimits,
  sourceShard: number,
  names: readonly string[],
  target: MoveTarget,
): MachineMove | null => {
  const edits = new GroupEdits(cache, sourceShard, transactionOps - MOVE_WRITES);
  const taken = takeFromGroups(cache, edits, names, groupCapacity(valueBytes));
  if (taken === null) return null;
  const { moved } = taken;
  const { type, zone, spot } = taken.kind;
  const machines = new Map(moved.map((name) => [name, true]));
  const group: MachineGroup = {
    shard: target.shard,
    term: target.term,
    type,
    zone,
    spot,
    machines,
  };
  const groupKey = storeKey.machineGroup(target.group);
  const sources = edits.transaction();
  return {
    moved,
    transaction: {
      guards: [
        target.shardGuard,
        { key: groupKey, revision: 0 },
        ...sources.guards,
        ...target.guards,
      ],
      writes: [
        ...sources.writes,
        { put: groupKey, value: encodeMachineGroup(group) },
        ...target.writes(moved),
      ],
    },
  };
};
