/** Schemas of fields that occur in several messages. */
import * as z from 'zod';
import { MAX_NAME_LENGTH } from './constants.js';

/** A count or a monotonically increasing number. */
export const countSchema = z.number().int().nonnegative().max(Number.MAX_SAFE_INTEGER);

/** An amount of a resource, money or time; NaN and infinity are rejected. */
export const amountSchema = z.number().nonnegative().max(1e9);

/** The name of a job class, team, machine, zone or the like. */
export const nameSchema = z.string().min(1).max(MAX_NAME_LENGTH);

/** Returns the wire values of a table that maps wire values to those of the model, for use with `z.enum`. */
export const enumValues = <Value extends string>(
  table: Record<Value, unknown>,
): [Value, ...Value[]] => Object.keys(table) as [Value, ...Value[]];
