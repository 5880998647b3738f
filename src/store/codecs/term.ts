/** Codec of the last term that any shard was given (`term`). */
import { nonNegativeInteger } from './schema-parts.js';

/** A term as it is stored. */
export const encodeTerm = (term: number): number => term;

/** Reads a stored term; throws if it is none. */
export const decodeTerm = (value: unknown): number => nonNegativeInteger.parse(value);
