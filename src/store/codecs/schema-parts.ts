/** Schemas that several stored values have in common. */
import * as z from 'zod';

/** A stored count, index or term. */
export const nonNegativeInteger = z.number().int().nonnegative();
