/** Kinds of fields that several messages have in common. */
import * as z from 'zod';
import { MAX_NAME_LENGTH } from './constants.js';

/** A count or a number that only rises. */
export const countSchema = z.number().int().nonnegative().max(Number.MAX_SAFE_INTEGER);

/** An amount of a resource, money or time; no NaN, no infinity. */
export const amountSchema = z.number().nonnegative().max(1e9);

/** A name of a job class, team, machine, zone and the like. */
export const nameSchema = z.string().min(1).max(MAX_NAME_LENGTH);

/** The words of a table from the wire to the model, for `z.enum`. */
export const enumValues = <Word extends string>(table: Record<Word, unknown>): [Word, ...Word[]] =>
  Object.keys(table) as [Word, ...Word[]];
