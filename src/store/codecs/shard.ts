/** Codec of a shard's owner (`parts/<index>`). */
import * as z from 'zod';
import { nonNegativeInteger } from './schema-parts.js';

/** Who owns a shard. */
export interface ShardRecord {
  readonly owner: string;
  /** incarnation of the owner: a name alone would mix up a node and its restarted self */
  readonly incarnation: string;
  /** rises with each change of ownership */
  readonly term: number;
}

const storedShardSchema = z.object({
  owner: z.string(),
  incarnation: z.string(),
  term: nonNegativeInteger,
});

/** A record as it is stored. */
export const encodeShard = ({
  owner,
  incarnation,
  term,
}: ShardRecord): z.infer<typeof storedShardSchema> => ({ owner, incarnation, term });

/** Reads a stored record; throws if it is none. */
export const decodeShard = (value: unknown): ShardRecord => storedShardSchema.parse(value);
