/** Codec of completed tasks (`done/<shard>/<slot>`). */
import * as z from 'zod';

/** Bitmaps of completed tasks by `<uid>/<first task>`: many ranges of a shard in one value. */
export type CompletionBitmaps = ReadonlyMap<string, string>;

const storedBitmapsSchema = z.record(z.string(), z.string());

/** Bitmaps as they are stored. */
export const encodeCompletions = (
  bitmaps: CompletionBitmaps,
): z.infer<typeof storedBitmapsSchema> => Object.fromEntries(bitmaps);

/** Reads stored bitmaps; throws if they are none. */
export const decodeCompletions = (value: unknown): CompletionBitmaps =>
  new Map(Object.entries(storedBitmapsSchema.parse(value)));
