/** Codec of the latest term assigned to any shard (`term`). */
import { nonNegativeInteger } from './schema-parts.js';

/** Returns the stored form of a term. */
export const encodeTerm = (term: number): number => term;

/** Decodes a stored term; throws if the value is malformed. */
export const decodeTerm = (value: unknown): number => nonNegativeInteger.parse(value);
