/** Schemas that several codecs share. */
import * as z from 'zod';

/** Schema of a stored count, index or term. */
export const nonNegativeInteger = z.number().int().nonnegative();
