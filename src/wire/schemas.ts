import type { Guard, Write } from '@sumacstep/leader-election';
import * as z from 'zod';
import { MAX_NAME_LENGTH, MAX_TASKS_PER_JOB } from './constants.js';
import type {
  Command,
  ExitReason,
  JobSpec,
  MachineType,
  Priority,
  Heartbeat,
  ReportedTask,
  TaskState,
} from '../core/model.js';

/** The wire's words and shapes live in this file only; the rest of the program uses the model. */

const count = z.number().int().nonnegative().max(Number.MAX_SAFE_INTEGER);
const amount = z.number().nonnegative().max(1e9);
const name = z.string().min(1).max(MAX_NAME_LENGTH);

export const JOB_UID_PATTERN = /^job-[0-9]{1,20}$/;

const PRIORITIES = { prod: 'production', urgent: 'high', normal: 'normal', idle: 'low' } as const;
/** `service` is not in the protocol's page; see docs/questions.md. */
const KINDS = { batch: 'array', ensemble: 'gang', service: 'service' } as const;
const STATES = {
  fetching: 'fetching',
  gathering: 'waiting',
  running: 'running',
  flushing: 'saving',
  ended: 'exited',
} as const satisfies Record<string, TaskState>;
const REASONS = {
  done: 'done',
  stopped: 'stopped',
  peers: 'peers',
  alone: 'alone',
  error: 'error',
  full: 'no_room',
  busy: 'busy',
  unknown: 'unknown',
} as const satisfies Record<string, ExitReason>;

const keysOf = <K extends string>(map: Record<K, unknown>): [K, ...K[]] =>
  Object.keys(map) as [K, ...K[]];

export const submissionSchema = z
  .object({
    Uid: z.string().regex(JOB_UID_PATTERN),
    Jobclass: name,
    Owner: name,
    Shape: z.enum(keysOf(KINDS)),
    Rank: z.enum(keysOf(PRIORITIES)),
    Pieces: z.number().int().min(1).max(MAX_TASKS_PER_JOB),
    Vcpus: amount,
    Cards: amount,
    MemGb: amount,
    Bundle: name,
    ImageGb: amount,
    Hosttypes: z.array(name).max(1000).nullish(),
    Site: name.nullish(),
    OneZone: z.boolean(),
    Spread: z.boolean(),
    Reclaimable: z.boolean(),
    GuessS: amount,
    SnapshotEveryS: amount,
    SnapshotS: amount,
    DueS: amount.nullish(),
  })
  .transform((s): JobSpec => ({
    uid: s.Uid,
    jobClass: s.Jobclass,
    team: s.Owner,
    kind: KINDS[s.Shape],
    priority: PRIORITIES[s.Rank] satisfies Priority,
    tasks: s.Pieces,
    demand: { cpus: s.Vcpus, gpus: s.Cards, memoryGb: s.MemGb },
    image: s.Bundle,
    imageGb: s.ImageGb,
    types: s.Hosttypes ?? null,
    zone: s.Site ?? null,
    oneZone: s.OneZone,
    spread: s.Spread,
    spot: s.Reclaimable,
    estimateS: s.GuessS,
    checkpointS: s.SnapshotEveryS,
    saveS: s.SnapshotS,
    deadlineS: s.DueS ?? null,
  }));

/** `job-000412/3` */
const TASK_FORM = /^[^/]+\/[0-9]{1,15}$/;
const reportedTask = z.object({
  Piece: z.string().regex(TASK_FORM),
  Try: count,
  Status: z.enum(keysOf(STATES)),
  Cause: z.string().nullish(),
  Saved: z.boolean().nullish(),
});

const toTask = (t: z.infer<typeof reportedTask>): ReportedTask => {
  const slash = t.Piece.indexOf('/');
  const why = t.Cause ?? null;
  return {
    uid: t.Piece.slice(0, slash),
    index: Number(t.Piece.slice(slash + 1)),
    attempt: t.Try,
    state: STATES[t.Status],
    why: why === null ? null : ((REASONS as Record<string, ExitReason>)[why] ?? 'error'),
    saved: t.Saved ?? false,
  };
};

/** One conversion for the whole report: a step for each of its tasks costs more than all the rest. */
export const heartbeatSchema = z
  .object({
    Host: name,
    Address: name,
    Hosttype: name,
    Site: name,
    Reclaimable: z.boolean(),
    Tenure: count,
    Counter: count,
    Mandate: count,
    WarningS: z.number().nullish(),
    Pieces: z.array(reportedTask).nullish(),
  })
  .transform((r): Heartbeat => ({
    machine: r.Host,
    address: r.Address,
    type: r.Hosttype,
    zone: r.Site,
    spot: r.Reclaimable,
    agentEpoch: r.Tenure,
    counter: r.Counter,
    fencingToken: r.Mandate,
    preemptionNoticeS: r.WarningS ?? null,
    tasks: (r.Pieces ?? []).map(toTask),
  }));

const order = (c: Command): Record<string, unknown> => {
  const piece = { Piece: `${c.uid}/${c.index}`, Try: c.attempt };
  if (c.op === 'start') return { Verb: 'start', ...piece };
  if (c.op === 'stop') return { Verb: 'stop', ...piece, WindupS: c.graceS };
  return { Verb: 'reap', ...piece };
};

export const heartbeatResponseBody = (token: number, commands: readonly Command[]): unknown => ({
  Mandate: token,
  Orders: commands.map(order),
});
export const commandsBody = (
  token: number,
  agentEpoch: number,
  commands: readonly Command[],
): unknown => ({ Mandate: token, Tenure: agentEpoch, Orders: commands.map(order) });
export const redirectBody = (node: string | null): unknown =>
  node === null ? {} : { ReportsTo: node };

export type JobStatus = 'queued' | 'running' | 'done' | 'cancelled';
export const statusBody = (uid: string, status: JobStatus, done?: number, running?: number) =>
  done === undefined
    ? { Uid: uid, Status: status }
    : { Uid: uid, Status: status, done, running: running ?? 0 };

// --- cloud ---
export const machineTypesSchema = z.object({
  Hosttypes: z.array(
    z
      .object({
        Label: name,
        Vcpus: amount,
        Cards: amount,
        MemGb: amount,
        CacheGb: amount.nullish(),
        FetchGbPerS: amount.nullish(),
        Price: amount,
        LowPrice: amount.nullish(),
        BootS: amount,
        Sites: z.array(z.string()),
      })
      .transform((t): MachineType => ({
        name: t.Label,
        cpus: t.Vcpus,
        gpus: t.Cards,
        memoryGb: t.MemGb,
        cacheGb: t.CacheGb ?? 0,
        fetchGbPerS: t.FetchGbPerS ?? 1,
        price: t.Price,
        spotPrice: t.LowPrice ?? t.Price,
        bootS: t.BootS,
        zones: t.Sites,
      })),
  ),
});

export interface RentRequest {
  readonly request: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly count: number;
}
export const rentBody = (r: RentRequest): unknown => ({
  Hire: r.request,
  Hosttype: r.type,
  Site: r.zone,
  Reclaimable: r.spot,
  Number: r.count,
});
export const rentedSchema = z.object({ Hosts: z.array(name) });
export const returnBody = (machines: readonly string[]): unknown => ({ Hosts: machines });

export interface ListedMachine {
  readonly name: string;
  readonly address: string | null;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly status: string;
  readonly ageS: number;
}
export const machineListSchema = z.object({
  Hosts: z.array(
    z
      .object({
        Uid: name,
        Address: z.string().nullish(),
        Hosttype: name,
        Site: name,
        Reclaimable: z.boolean(),
        Status: z.string(),
        HeldS: z.number().nullish(),
      })
      .transform((m): ListedMachine => ({
        name: m.Uid,
        address: m.Address ?? null,
        type: m.Hosttype,
        zone: m.Site,
        spot: m.Reclaimable,
        status: m.Status,
        ageS: m.HeldS ?? 0,
      })),
  ),
  Truncated: z.boolean().nullish(),
});

// --- state service ---
const revision = z.number().int().nonnegative();
export const entrySchema = z.object({
  K: z.string(),
  Value: z.unknown().optional(),
  Stamp: revision,
  Permit: z.number().nullish(),
});
export const missingSchema = z.object({ Epoch: revision });
export const listingSchema = z.object({
  Entries: z.array(entrySchema),
  Truncated: z.boolean().nullish(),
  Epoch: revision,
});
export const committedSchema = z.object({ Epoch: revision });
export const conflictSchema = z.object({
  failed: z.array(z.string()).nullish(),
  Epoch: revision.nullish(),
});
export const leaseSchema = z.object({ Permit: z.number() });
export const watchSchema = z.object({
  Epoch: revision,
  News: z.array(
    z.object({
      Put: z.string().nullish(),
      Drop: z.string().nullish(),
      Value: z.unknown().optional(),
      Stamp: revision,
    }),
  ),
});

export type { Guard, Write };
export const transactionBody = (guards: readonly Guard[], writes: readonly Write[]): unknown => ({
  When: guards.map((c) => ({ K: c.key, Stamp: c.revision })),
  Writes: writes.map((w) => {
    if ('drop' in w) return { Drop: w.drop };
    if (w.lease === undefined) return { Put: w.put, Value: w.value };
    return { Put: w.put, Value: w.value, Permit: w.lease };
  }),
});
export const leaseBody = (ttlMs: number): unknown => ({ TtlMs: ttlMs });
