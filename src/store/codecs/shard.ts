/** Codec of a shard's owner (`parts/<index>`). */
import * as z from 'zod';
import { nonNegativeInteger } from './schema-parts.js';

/** The owner of a shard. */
export interface ShardRecord {
  readonly owner: string;
  /** incarnation of the owner, since the name alone does not distinguish a node from itself after a restart */
  readonly incarnation: string;
  /** increases with each change of ownership */
  readonly term: number;
}

const storedShardSchema = z.object({
  owner: z.string(),
  incarnation: z.string(),
  term: nonNegativeInteger,
});

/** Returns the stored form of a record. */
export const encodeShard = ({
  owner,
  incarnation,
  term,
}: ShardRecord): z.infer<typeof storedShardSchema> => ({ owner, incarnation, term });

/** Decodes a stored record; throws if the value is malformed. */
export const decodeShard = (value: unknown): ShardRecord => storedShardSchema.parse(value);
