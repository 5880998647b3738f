/**
 * Messages between workers and the service. Only this module maps the protocol's names to those of the model:
 *
 * | wire                               | model                                 |
 * | ---------------------------------- | ------------------------------------- |
 * | Host, Hosttype, Site, Reclaimable  | machine, type, zone, spot             |
 * | Tenure                             | agent epoch                           |
 * | Mandate                            | fencing token                         |
 * | WarningS                           | preemption notice (s)                 |
 * | Piece, Try, Status, Cause          | task, attempt, state, exit reason     |
 * | gathering, flushing, ended         | waiting, saving, exited               |
 * | Orders, Verb: start, stop, reap    | commands, op: start, stop, forget     |
 * | WindupS                            | grace period (s)                      |
 * | ReportsTo                          | node that owns the machine's shard    |
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

/** The form of a task's id: the uid of its job and its index, such as `job-000412/3`. */
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
    // Newer workers may report reasons that this version does not know: these count as an error of the task.
    why:
      reason === null
        ? null
        : ((EXIT_REASON_BY_CAUSE as Record<string, ExitReason>)[reason] ?? 'error'),
    saved: task.Saved ?? false,
  };
};

/**
 * A heartbeat of a worker. The whole message is transformed at once, since a transformation for each task would
 * dominate the cost of a heartbeat.
 */
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

/** Returns the answer to a heartbeat: commands with the fencing token of the shard's owner. */
export const heartbeatResponseBody = (
  fencingToken: number,
  commands: readonly Command[],
): unknown => ({ Mandate: fencingToken, Orders: commands.map(commandBody) });

/**
 * Returns the body of a message that sends commands to a worker between its heartbeats. The worker executes them only
 * if its agent epoch is still the given one.
 */
export const commandsBody = (
  fencingToken: number,
  agentEpoch: number,
  commands: readonly Command[],
): unknown => ({
  Mandate: fencingToken,
  Tenure: agentEpoch,
  Orders: commands.map(commandBody),
});

/** Returns an answer that names the node to send heartbeats to, or names none if `node` is null (unknown). */
export const redirectBody = (node: string | null): unknown =>
  node === null ? {} : { ReportsTo: node };
