/** Codec of the highest fencing token reserved for any shard (`term`): the next change of ownership begins after it. */
import { nonNegativeInteger } from './schema-parts.js';

/** Returns the stored form of a term. */
export const encodeTerm = (term: number): number => term;

/** Decodes a stored term; throws if the value is malformed. */
export const decodeTerm = (value: unknown): number => nonNegativeInteger.parse(value);
