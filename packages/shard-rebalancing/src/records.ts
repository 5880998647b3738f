/**
 * What the store holds of moves of machines between shards. Property names, states and keys are the stored form,
 * shared with other versions and with `sumacstep shares --json`: they never change.
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

/** Which machines may move. A property that is null matches any machine. */
export type MachineFilter = Readonly<z.infer<typeof filterSchema>>;

/** An operator's request. Times are times of day in ms. */
export type MoveRequest = Readonly<z.infer<typeof requestSchema>>;

/**
 * - `requested`: written by an operator;
 * - `preparing`: machines are being chosen, and get no new tasks;
 * - `moving`: chosen machines move one after another, as they become empty;
 * - `lent`: all machines have moved, and go back at a stated time;
 * - `finished`, `aborted`: nothing is left to do.
 */
export type MoveState = z.infer<typeof moveSchema>['state'];

/** A move as it is stored. Each change is guarded by the revision that it was computed from. */
export type Move = Readonly<z.infer<typeof moveSchema>>;

/** Reads a stored move; null if the value is none, since operators write these with tools of any version. */
export const decodeMove = (value: unknown): Move | null => moveSchema.safeParse(value).data ?? null;

/** What is wrong with a request, one line for each field; empty if it is valid. */
export const moveRequestProblems = (value: unknown): string[] => {
  const result = requestSchema.safeParse(value);
  if (result.success) return [];
  return result.error.issues.map(
    (issue) => `${issue.path.join('.') || 'request'}: ${issue.message}`,
  );
};

/** Reads a request; throws a `ZodError` if it is not valid. */
export const parseMoveRequest = (value: unknown): MoveRequest => requestSchema.parse(value);

/** The first state of a requested move. */
export const newMove = (request: MoveRequest): Move => ({
  ...request,
  state: 'requested',
  direction: 'forth',
  abortAsked: false,
  chosen: [],
  moved: [],
  waitsFor: null,
});

/** Keys of moves begin with this; the rest is the move's id. */
export const MOVE_PREFIX = 'shares/moves/';
/** The key of a move. */
export const moveKey = (id: string): string => `${MOVE_PREFIX}${id}`;

/** The key of a shard's lock, which names the one move that may change the shard's machines. */
export const shardLockKey = (shard: number): string => `shares/parts/${shard}`;

const lockSchema = z.object({ move: z.string() });

/** The id of the move that a lock names; null if the value is no lock. */
export const decodeShardLock = (value: unknown): string | null =>
  lockSchema.safeParse(value).data?.move ?? null;

/** The stored form of a lock. */
export const encodeShardLock = (id: string): unknown => ({ move: id });
