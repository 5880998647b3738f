/** Codec of a shard's owner (`parts/<index>`). */
import * as z from 'zod';
import { nonNegativeInteger, positiveInteger } from './schema-parts.js';

/** The owner of a shard. */
export interface ShardRecord {
  readonly owner: string;
  /** incarnation of the owner, since the name alone does not distinguish a node from itself after a restart */
  readonly incarnation: string;
  /** increases with each change of ownership */
  readonly term: number;
  /** number of fencing tokens that are reserved for the owner, from the term on */
  readonly tokens: number;
}

/** Returns the highest fencing token that is reserved for the owner. */
export const lastToken = ({ term, tokens }: Pick<ShardRecord, 'term' | 'tokens'>): number =>
  term + tokens - 1;

const storedShardSchema = z.object({
  owner: z.string(),
  incarnation: z.string(),
  term: nonNegativeInteger,
  // Earlier versions reserve only the term itself, and store no number.
  tokens: positiveInteger.default(1),
});

/** Returns the stored form of a record. */
export const encodeShard = ({
  owner,
  incarnation,
  term,
  tokens,
}: ShardRecord): z.input<typeof storedShardSchema> => ({
  owner,
  incarnation,
  term,
  ...(tokens === 1 ? {} : { tokens }),
});

/** Decodes a stored record; throws if the value is malformed. */
export const decodeShard = (value: unknown): ShardRecord => storedShardSchema.parse(value);
