/** Codec of rental requests in flight (`hires/<shard>/<name>`). A request is recorded before the cloud is called. */
import * as z from 'zod';
import { nonNegativeInteger } from './schema-parts.js';

/** The machines that a rental request asks for. */
export interface RentalSpec {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly count: number;
}

/** A rental request, with the shard that the machines are for and the name under which it is sent to the cloud. */
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

/** Returns the stored form of a rental request. Its shard and name are part of the key only. */
export const encodeRental = ({
  type,
  zone,
  spot,
  count,
}: RentalSpec): z.infer<typeof storedRentalSchema> => ({ type, zone, spot, count });

/** Decodes a stored rental request; `id` is the key without its prefix. Throws if the value is malformed. */
export const decodeRental = (id: string, value: unknown): RentalRecord => {
  const slash = id.indexOf('/');
  const shard = Number(id.slice(0, slash));
  return { shard, name: id.slice(slash + 1), ...storedRentalSchema.parse(value) };
};
