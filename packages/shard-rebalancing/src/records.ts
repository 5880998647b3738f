/**
 * Stored records of moves of machines between shards. Property names, states and keys are shared with other versions
 * of the program and with the output of `sumacstep shares --json`, so they must never change.
 */
import * as z from 'zod';

const moveId = z.string().regex(/^[\w.-]{1,40}$/, 'must be 1 to 40 letters, digits, dots, dashes');
const shardIndex = z.number().int().nonnegative();
const timeOfDayMs = z.number().nonnegative();

const filterSchema = z
  .object({
    type: z.string().min(1).nullable().default(null),
    zone: z.string().min(1).nullable().default(null),
    spot: z.boolean().nullable().default(null),
  })
  .strict();

const requestSchema = z
  .object({
    id: moveId,
    from: shardIndex,
    to: shardIndex,
    count: z.number().int().positive(),
    filter: filterSchema.prefault({}),
    deadlineMs: timeOfDayMs,
    returnAtMs: timeOfDayMs.nullable().default(null),
  })
  .strict()
  .refine(({ from, to }) => from !== to, {
    path: ['to'],
    error: 'must be another part than `from`',
  })
  .refine(({ returnAtMs, deadlineMs }) => returnAtMs === null || returnAtMs > deadlineMs, {
    path: ['returnAtMs'],
    error: 'must be after the deadline',
  });

const moveSchema = z.object({
  ...requestSchema.shape,
  state: z.enum(['requested', 'preparing', 'moving', 'lent', 'finished', 'aborted']),
  direction: z.enum(['forth', 'back']),
  abortAsked: z.boolean(),
  chosen: z.array(z.string()),
  moved: z.array(z.string()),
  waitsFor: z.string().nullable(),
});

/** Restricts which machines may move. A property that is null matches any machine. */
export type MachineFilter = Readonly<z.infer<typeof filterSchema>>;

/**
 * An operator's request to move `count` machines from shard `from` to shard `to`. The move is aborted unless all have
 * moved by `deadlineMs`; at `returnAtMs`, if set, they are returned. Both times are ms since the epoch.
 */
export type MoveRequest = Readonly<z.infer<typeof requestSchema>>;

/**
 * The state of a move:
 *
 * - `requested`: an operator has written the request;
 * - `preparing`: machines are being chosen, and chosen ones get no new tasks;
 * - `moving`: chosen machines move one after another, as they become empty;
 * - `lent`: all machines have moved, and will be returned at `returnAtMs`;
 * - `finished`, `aborted`: terminal states.
 */
export type MoveState = z.infer<typeof moveSchema>['state'];

/**
 * A move as it is stored. Each write is guarded by the revision that the new state was computed from.
 *
 * - `direction`: `forth` from the shard `from` to `to`, `back` while the machines are returned;
 * - `abortAsked`: an abort was requested, or the deadline has passed after some machines had moved;
 * - `chosen`: names of the machines that are cordoned for the move;
 * - `moved`: names of the machines that have moved and were not returned;
 * - `waitsFor`: why the move cannot proceed, or null.
 */
export type Move = Readonly<z.infer<typeof moveSchema>>;

/** Decodes a stored move; null if the value is invalid, since operators may write moves with any version of the tools. */
export const decodeMove = (value: unknown): Move | null => moveSchema.safeParse(value).data ?? null;

/** Returns the problems of a request, one line for each invalid field; empty if the request is valid. */
export const moveRequestProblems = (value: unknown): string[] => {
  const result = requestSchema.safeParse(value);
  if (result.success) return [];
  return result.error.issues.map(
    (issue) => `${issue.path.join('.') || 'request'}: ${issue.message}`,
  );
};

/** Parses a request; throws a `ZodError` if it is invalid. */
export const parseMoveRequest = (value: unknown): MoveRequest => requestSchema.parse(value);

/** Returns a new move in its initial state. */
export const newMove = (request: MoveRequest): Move => ({
  ...request,
  state: 'requested',
  direction: 'forth',
  abortAsked: false,
  chosen: [],
  moved: [],
  waitsFor: null,
});

/** Prefix of the keys of moves; the rest of a key is the move's id. */
export const MOVE_PREFIX = 'shares/moves/';
/** Returns the key of a move. */
export const moveKey = (id: string): string => `${MOVE_PREFIX}${id}`;

/** Returns the key of a shard's lock, which holds the id of the only move that may change the shard's machines. */
export const shardLockKey = (shard: number): string => `shares/parts/${shard}`;

const lockSchema = z.object({ move: z.string() });

/** Returns the id of the move that holds a lock; null if the value is not a valid lock. */
export const decodeShardLock = (value: unknown): string | null =>
  lockSchema.safeParse(value).data?.move ?? null;

/** Returns the stored form of a lock that the move `id` holds. */
export const encodeShardLock = (id: string): unknown => ({ move: id });
