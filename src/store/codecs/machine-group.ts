/** Codec of groups of machines (`machines/<group>`). */
import * as z from 'zod';
import type { MachineRecord } from '../../core/model.js';
import { nonNegativeInteger } from './schema-parts.js';

/** The machines of one rental that belong to the same shard. They are stored in one value, so they cost one write. */
export interface MachineGroup extends Omit<MachineRecord, 'name' | 'up'> {
  /** for each machine, by name, whether it is recorded as up */
  readonly machines: ReadonlyMap<string, boolean>;
}

/** The stored form: `part` is the shard, `era` the term, `hosts` the machines by name, with 1 for up and 0 for down. */
const storedGroupSchema = z.object({
  part: nonNegativeInteger,
  era: nonNegativeInteger,
  type: z.string(),
  zone: z.string(),
  spot: z.boolean(),
  hosts: z.record(z.string(), z.number()),
});

/** Returns the stored form of a group. */
export const encodeMachineGroup = (group: MachineGroup): z.infer<typeof storedGroupSchema> => {
  const { shard, term, type, zone, spot, machines } = group;
  const hosts = Object.fromEntries([...machines].map(([name, up]) => [name, Number(up)]));
  return { part: shard, era: term, type, zone, spot, hosts };
};

/** Decodes a stored group; throws if the value is malformed. */
export const decodeMachineGroup = (value: unknown): MachineGroup => {
  const { part: shard, era: term, hosts, ...properties } = storedGroupSchema.parse(value);
  const machines = new Map(Object.entries(hosts).map(([name, up]) => [name, up !== 0]));
  return { ...properties, shard, term, machines };
};

/** Returns one record for each machine of a group. */
export const machinesOf = (group: MachineGroup): MachineRecord[] => {
  const { shard, term, type, zone, spot, machines } = group;
  return [...machines].map(([name, up]) => ({ name, shard, term, type, zone, spot, up }));
};
