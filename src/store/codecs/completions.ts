/** Codec of the bitmaps of completed tasks (`done/<shard>/<slot>`). */
import * as z from 'zod';

/** Bitmaps of completed tasks by `<uid>/<first task>`. One value holds those of many ranges of a shard. */
export type CompletionBitmaps = ReadonlyMap<string, string>;

const storedBitmapsSchema = z.record(z.string(), z.string());

/** Returns the stored form of bitmaps. */
export const encodeCompletions = (
  bitmaps: CompletionBitmaps,
): z.infer<typeof storedBitmapsSchema> => Object.fromEntries(bitmaps);

/** Decodes stored bitmaps; throws if the value is malformed. */
export const decodeCompletions = (value: unknown): CompletionBitmaps =>
  new Map(Object.entries(storedBitmapsSchema.parse(value)));
