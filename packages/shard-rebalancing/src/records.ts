import * as z from 'zod';

/** What the store holds of moves of machines between shards. */

const name = z.string().regex(/^[\w.-]{1,40}$/, 'must be 1 to 40 letters, digits, dots, dashes');
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
    id: name,
    from: shardIndex,
    to: shardIndex,
    count: z.number().int().positive(),
    filter: filterSchema.prefault({}),
    deadlineMs: timeOfDayMs,
    returnAtMs: timeOfDayMs.nullable().default(null),
  })
  .strict()
  .refine((r) => r.from !== r.to, { path: ['to'], message: 'must be another part than `from`' })
  .refine((r) => r.returnAtMs === null || r.returnAtMs > r.deadlineMs, {
    path: ['returnAtMs'],
    message: 'must be after the deadline',
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

/** Which machines may move; null: any. */
export type MachineFilter = Readonly<z.infer<typeof filterSchema>>;

/** What an operator asks for. Times are of the day, in ms. */
export type MoveRequest = Readonly<z.infer<typeof requestSchema>>;

/**
 * - `requested`: written by an operator; `preparing`: machines are being chosen, and take no new work;
 * - `moving`: chosen machines move one after another, as they become empty;
 * - `lent`: all are there, and go back at a stated time; `finished`, `aborted`: over.
 */
export type MoveState = z.infer<typeof moveSchema>['state'];

/** A move as it is stored. Each change depends on the revision that it was computed from. */
export type Move = Readonly<z.infer<typeof moveSchema>>;

/** Reads a stored move; null if it is none, since people write these with tools of any version. */
export const decodeMove = (value: unknown): Move | null => moveSchema.safeParse(value).data ?? null;

/** What is wrong with a request, a line for each field; empty if nothing is. */
export const moveRequestProblems = (value: unknown): string[] => {
  const result = requestSchema.safeParse(value);
  if (result.success) return [];
  return result.error.issues.map(
    (issue) => `${issue.path.join('.') || 'request'}: ${issue.message}`,
  );
};

/** Reads a request; throws if it is none. */
export const parseMoveRequest = (value: unknown): MoveRequest => requestSchema.parse(value);

/** The move that a request begins with. */
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
export const moveKey = (id: string): string => `${MOVE_PREFIX}${id}`;

/** Names the move that holds a shard: one move at a time touches it. */
export const shardLockKey = (part: number): string => `shares/parts/${part}`;
const lockSchema = z.object({ move: z.string() });
/** The id of the move that a lock names; null if the value is no lock. */
export const decodeShardLock = (value: unknown): string | null =>
  lockSchema.safeParse(value).data?.move ?? null;
export const encodeShardLock = (id: string): unknown => ({ move: id });
