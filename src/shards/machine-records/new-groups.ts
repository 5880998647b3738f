/** Transactions that create the record of a group: of an answered rental, or of an adopted machine. */
import { encodeMachineGroup, type MachineGroup } from '../../store/codecs/machine-group.js';
import { storeKey } from '../../store/keys.js';
import { type RentalRecord } from '../../store/codecs/rental.js';
import type { WatchCache } from '../../store/watch-cache.js';
import type { Guard, Write } from '@sumacstep/leader-election';
import { isSameKind, type MachineKind } from '../machine-kind.js';
import type { Transaction } from '../transaction.js';

/** A machine that no record knows, and the shard that adopts it. */
export interface OrphanedMachine extends MachineKind {
  readonly name: string;
  readonly shard: number;
}

/** Whether a rental of the kind is recorded that has not been settled yet. */
export const isRentalPending = (
  rentals: ReadonlyMap<string, { readonly value: RentalRecord }>,
  kind: MachineKind,
): boolean => {
  for (const { value: rental } of rentals.values()) if (isSameKind(rental, kind)) return true;
  return false;
};

/**
 * Settles a rental that the cloud has answered with the machines `rented`: drops its record, and records those of
 * its machines that are in no group yet.
 */
export const rentalTransaction = (
  cache: Pick<WatchCache, 'machines' | 'tables'>,
  term: number,
  rental: RentalRecord,
  rented: readonly string[],
): Transaction => {
  const { shard, type, zone, spot, name } = rental;
  const rentalKey = storeKey.rental(shard, name);
  const writes: Write[] = [{ drop: rentalKey }];
  const guards: Guard[] = [];
  const unrecorded = rented.filter((machine) => !cache.machines.has(machine));
  if (unrecorded.length > 0) {
    const machines = new Map(unrecorded.map((machine) => [machine, false]));
    const group: MachineGroup = { shard, term, type, zone, spot, machines };
    const revision = cache.tables.rentals.get(`${shard}/${name}`)?.revision ?? 0;
    writes.push({ put: storeKey.machineGroup(name), value: encodeMachineGroup(group) });
    guards.push({ key: storeKey.machineGroup(name), revision: 0 }, { key: rentalKey, revision });
  }
  return { guards, writes };
};

/** Records a machine in a group of its own, unless it was adopted before. */
export const adoptionTransaction = (
  term: number,
  { name, shard, type, zone, spot }: OrphanedMachine,
  guards: readonly Guard[],
): Transaction => {
  const machines = new Map([[name, false]]);
  const group: MachineGroup = { shard, type, zone, spot, term, machines };
  const groupKey = storeKey.adoptedMachineGroup(name);
  return {
    guards: [{ key: groupKey, revision: 0 }, ...guards],
    writes: [{ put: groupKey, value: encodeMachineGroup(group) }],
  };
};
