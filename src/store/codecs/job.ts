/** Codec of active jobs (`active/<uid>`). */
import * as z from 'zod';
import type { JobRecord, JobSpec } from '../../core/model.js';
import { nonNegativeInteger } from './schema-parts.js';

const storedResourcesSchema = z.object({
  cpus: z.number(),
  gpus: z.number(),
  memoryGb: z.number(),
});

const storedSpecSchema = z.object({
  jobClass: z.string(),
  team: z.string(),
  kind: z.enum(['array', 'gang', 'service']),
  priority: z.enum(['production', 'high', 'normal', 'low']),
  tasks: nonNegativeInteger,
  demand: storedResourcesSchema,
  image: z.string(),
  imageGb: z.number(),
  types: z.array(z.string()).nullable(),
  zone: z.string().nullable(),
  oneZone: z.boolean(),
  spread: z.boolean(),
  spot: z.boolean(),
  estimateS: z.number(),
  checkpointS: z.number(),
  saveS: z.number(),
  deadlineS: z.number().nullable(),
});

/** Stored: each range is `[from, to, shard, term]`. */
const storedJobSchema = z.object({
  spec: storedSpecSchema,
  at: z.number(),
  ranges: z.array(
    z.tuple([nonNegativeInteger, nonNegativeInteger, nonNegativeInteger, nonNegativeInteger]),
  ),
});

/** A job as it is stored; the key holds its uid. */
export const encodeJob = ({ spec, at, ranges }: JobRecord): unknown => {
  const storedSpec: Partial<JobSpec> = { ...spec };
  delete (storedSpec as { uid?: string }).uid;
  return {
    spec: storedSpec,
    at,
    ranges: ranges.map(({ from, to, shard, term }) => [from, to, shard, term]),
  };
};

/** Reads a stored job; throws if it is none. */
export const decodeJob = (uid: string, value: unknown): JobRecord => {
  const { spec, at, ranges } = storedJobSchema.parse(value);
  return {
    spec: { uid, ...spec } satisfies JobSpec,
    at,
    ranges: ranges.map(([from, to, shard, term]) => ({ from, to, shard, term })),
  };
};
