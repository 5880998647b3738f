/** Codec of machines (`machines/<group>`). */
import * as z from 'zod';
import type { MachineRecord } from '../../core/model.js';
import { nonNegativeInteger } from './schema-parts.js';

/** The machines of one rental that are in the same shard, in one value: they cost one write. */
export interface MachineGroup extends Omit<MachineRecord, 'name' | 'up'> {
  /** by name: whether the machine is recorded as up */
  readonly machines: ReadonlyMap<string, boolean>;
}

/** Stored: `part` is the shard, `era` the term, `hosts` the machines with 1 for up. */
const storedGroupSchema = z.object({
  part: nonNegativeInteger,
  era: nonNegativeInteger,
  type: z.string(),
  zone: z.string(),
  spot: z.boolean(),
  hosts: z.record(z.string(), z.number()),
});

/** A group as it is stored. */
export const encodeMachineGroup = (group: MachineGroup): z.infer<typeof storedGroupSchema> => {
  const { shard, term, type, zone, spot, machines } = group;
  const hosts = Object.fromEntries([...machines].map(([name, up]) => [name, Number(up)]));
  return { part: shard, era: term, type, zone, spot, hosts };
};

/** Reads a stored group; throws if it is none. */
export const decodeMachineGroup = (value: unknown): MachineGroup => {
  const { part: shard, era: term, hosts, ...properties } = storedGroupSchema.parse(value);
  const machines = new Map(Object.entries(hosts).map(([name, up]) => [name, up !== 0]));
  return { ...properties, shard, term, machines };
};

/** The machines of a group one by one, as the core knows them. */
export const machinesOf = (group: MachineGroup): MachineRecord[] => {
  const { shard, term, type, zone, spot, machines } = group;
  return [...machines].map(([name, up]) => ({ name, shard, term, type, zone, spot, up }));
};
