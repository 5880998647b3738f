/** Codec of rentals under way (`hires/<shard>/<name>`): they are recorded before the cloud is called. */
import * as z from 'zod';
import { nonNegativeInteger } from './schema-parts.js';

/** Machines to be rented. */
export interface RentalSpec {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly count: number;
}

/** A rental, with the shard it is for and the name under which the cloud is asked. */
export interface RentalRecord extends RentalSpec {
  readonly shard: number;
  readonly name: string;
}

const storedRentalSchema = z.object({
  type: z.string(),
  zone: z.string(),
  spot: z.boolean(),
  count: nonNegativeInteger,
});

/** A rental as it is stored; the key holds its shard and name. */
export const encodeRental = ({
  type,
  zone,
  spot,
  count,
}: RentalSpec): z.infer<typeof storedRentalSchema> => ({ type, zone, spot, count });

/** Reads a stored rental; `id` is the key without its prefix. */
export const decodeRental = (id: string, value: unknown): RentalRecord => {
  const slash = id.indexOf('/');
  const shard = Number(id.slice(0, slash));
  return { shard, name: id.slice(slash + 1), ...storedRentalSchema.parse(value) };
};
