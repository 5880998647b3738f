/** Schemas that several codecs share. */
import * as z from 'zod';

/** Schema of a stored count, index or term. */
export const nonNegativeInteger = z.number().int().nonnegative();

/** Schema of a stored number of things of which there is at least one. */
export const positiveInteger = z.number().int().positive();
