/**
 * Messages between users and the service. The protocol's words for a job, mapped here and nowhere else:
 *
 * | wire                              | model                                  |
 * | --------------------------------- | -------------------------------------- |
 * | Owner                             | team                                   |
 * | Shape: batch, ensemble, service   | kind: array, gang, service             |
 * | Rank: prod, urgent, normal, idle  | priority: production, high, normal, low |
 * | Pieces                            | tasks                                  |
 * | Vcpus, Cards, MemGb               | demand: cpus, gpus, memoryGb           |
 * | Bundle                            | image                                  |
 * | Hosttypes, Site                   | machine types, zone                    |
 * | Reclaimable                       | spot                                   |
 * | GuessS, DueS                      | estimateS, deadlineS                   |
 * | SnapshotEveryS, SnapshotS         | checkpointS, saveS                     |
 */
import * as z from 'zod';
import type { JobSpec, Priority } from '../core/model.js';
import { MAX_TASKS_PER_JOB } from './constants.js';
import { amountSchema, nameSchema, enumValues } from './fields.js';

/** `job-000412` */
export const JOB_UID_PATTERN = /^job-[0-9]{1,20}$/;

const PRIORITY_BY_RANK = {
  prod: 'production',
  urgent: 'high',
  normal: 'normal',
  idle: 'low',
} as const;
/** `service` is not in the protocol's page; see docs/questions.md. */
const KIND_BY_SHAPE = { batch: 'array', ensemble: 'gang', service: 'service' } as const;

/** A job as a user submits it. */
export const submissionSchema = z
  .object({
    Uid: z.string().regex(JOB_UID_PATTERN),
    Jobclass: nameSchema,
    Owner: nameSchema,
    Shape: z.enum(enumValues(KIND_BY_SHAPE)),
    Rank: z.enum(enumValues(PRIORITY_BY_RANK)),
    Pieces: z.number().int().min(1).max(MAX_TASKS_PER_JOB),
    Vcpus: amountSchema,
    Cards: amountSchema,
    MemGb: amountSchema,
    Bundle: nameSchema,
    ImageGb: amountSchema,
    Hosttypes: z.array(nameSchema).max(1000).nullish(),
    Site: nameSchema.nullish(),
    OneZone: z.boolean(),
    Spread: z.boolean(),
    Reclaimable: z.boolean(),
    GuessS: amountSchema,
    SnapshotEveryS: amountSchema,
    SnapshotS: amountSchema,
    DueS: amountSchema.nullish(),
  })
  .transform((submission): JobSpec => ({
    uid: submission.Uid,
    jobClass: submission.Jobclass,
    team: submission.Owner,
    kind: KIND_BY_SHAPE[submission.Shape],
    priority: PRIORITY_BY_RANK[submission.Rank] satisfies Priority,
    tasks: submission.Pieces,
    demand: { cpus: submission.Vcpus, gpus: submission.Cards, memoryGb: submission.MemGb },
    image: submission.Bundle,
    imageGb: submission.ImageGb,
    types: submission.Hosttypes ?? null,
    zone: submission.Site ?? null,
    oneZone: submission.OneZone,
    spread: submission.Spread,
    spot: submission.Reclaimable,
    estimateS: submission.GuessS,
    checkpointS: submission.SnapshotEveryS,
    saveS: submission.SnapshotS,
    deadlineS: submission.DueS ?? null,
  }));

/** What users are told of a job. */
export type JobStatus = 'queued' | 'running' | 'done' | 'cancelled';

/** The answer about a job; the numbers of tasks are left out if `done` is. */
export const statusBody = (
  uid: string,
  status: JobStatus,
  done?: number,
  running?: number,
): unknown =>
  done === undefined
    ? { Uid: uid, Status: status }
    : { Uid: uid, Status: status, done, running: running ?? 0 };
