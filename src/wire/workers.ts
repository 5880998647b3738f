/**
 * Messages between workers and the service. The protocol's words, mapped here and nowhere else:
 *
 * | wire                               | model                                 |
 * | ---------------------------------- | ------------------------------------- |
 * | Host, Hosttype, Site, Reclaimable  | machine, type, zone, spot             |
 * | Tenure                             | agent epoch                           |
 * | Mandate                            | fencing token                         |
 * | WarningS                           | preemption notice                     |
 * | Piece, Try, Status, Cause          | task, attempt, state, exit reason     |
 * | gathering, flushing, ended         | waiting, saving, exited               |
 * | Orders, Verb: start, stop, reap    | commands, op: start, stop, forget     |
 * | WindupS                            | grace period                          |
 * | ReportsTo                          | the node that owns the machine's shard |
 */
import * as z from 'zod';
import type { Command, ExitReason, Heartbeat, ReportedTask, TaskState } from '../core/model.js';
import { countSchema, nameSchema, enumValues } from './fields.js';

const STATE_BY_STATUS = {
  fetching: 'fetching',
  gathering: 'waiting',
  running: 'running',
  flushing: 'saving',
  ended: 'exited',
} as const satisfies Record<string, TaskState>;
const EXIT_REASON_BY_CAUSE = {
  done: 'done',
  stopped: 'stopped',
  peers: 'peers',
  alone: 'alone',
  error: 'error',
  full: 'no_room',
  busy: 'busy',
  unknown: 'unknown',
} as const satisfies Record<string, ExitReason>;

/** `job-000412/3` */
const TASK_PATTERN = /^[^/]+\/[0-9]{1,15}$/;
const reportedTaskSchema = z.object({
  Piece: z.string().regex(TASK_PATTERN),
  Try: countSchema,
  Status: z.enum(enumValues(STATE_BY_STATUS)),
  Cause: z.string().nullish(),
  Saved: z.boolean().nullish(),
});

const toReportedTask = (task: z.infer<typeof reportedTaskSchema>): ReportedTask => {
  const slash = task.Piece.indexOf('/');
  const reason = task.Cause ?? null;
  return {
    uid: task.Piece.slice(0, slash),
    index: Number(task.Piece.slice(slash + 1)),
    attempt: task.Try,
    state: STATE_BY_STATUS[task.Status],
    // A reason that only newer workers know counts as an error of the task.
    why:
      reason === null
        ? null
        : ((EXIT_REASON_BY_CAUSE as Record<string, ExitReason>)[reason] ?? 'error'),
    saved: task.Saved ?? false,
  };
};

/** A heartbeat. One conversion for the whole message: one for each task would dominate its cost. */
export const heartbeatSchema = z
  .object({
    Host: nameSchema,
    Address: nameSchema,
    Hosttype: nameSchema,
    Site: nameSchema,
    Reclaimable: z.boolean(),
    Tenure: countSchema,
    Counter: countSchema,
    Mandate: countSchema,
    WarningS: z.number().nullish(),
    Pieces: z.array(reportedTaskSchema).nullish(),
  })
  .transform((heartbeat): Heartbeat => ({
    machine: heartbeat.Host,
    address: heartbeat.Address,
    type: heartbeat.Hosttype,
    zone: heartbeat.Site,
    spot: heartbeat.Reclaimable,
    agentEpoch: heartbeat.Tenure,
    counter: heartbeat.Counter,
    fencingToken: heartbeat.Mandate,
    preemptionNoticeS: heartbeat.WarningS ?? null,
    tasks: (heartbeat.Pieces ?? []).map(toReportedTask),
  }));

const commandBody = (command: Command): Record<string, unknown> => {
  const task = { Piece: `${command.uid}/${command.index}`, Try: command.attempt };
  switch (command.op) {
    case 'start':
      return { Verb: 'start', ...task };
    case 'stop':
      return { Verb: 'stop', ...task, WindupS: command.graceS };
    case 'forget':
      return { Verb: 'reap', ...task };
  }
};

/** The answer to a heartbeat: commands under the fencing token of the shard's owner. */
export const heartbeatResponseBody = (
  fencingToken: number,
  commands: readonly Command[],
): unknown => ({ Mandate: fencingToken, Orders: commands.map(commandBody) });

/** Commands that are sent to a worker between its heartbeats; only that agent epoch obeys them. */
export const commandsBody = (
  fencingToken: number,
  agentEpoch: number,
  commands: readonly Command[],
): unknown => ({
  Mandate: fencingToken,
  Tenure: agentEpoch,
  Orders: commands.map(commandBody),
});

/** Names the node that a worker is to send its heartbeats to; null: it is unknown. */
export const redirectBody = (node: string | null): unknown =>
  node === null ? {} : { ReportsTo: node };
