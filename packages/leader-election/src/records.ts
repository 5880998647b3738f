/**
 * What the store holds of leader election. Property names and key prefixes are the stored form, shared with other
 * versions and with `sumacstep duties --json`: they never change.
 */
import * as z from 'zod';
import { fencingToken, type FencingToken } from './fencing-token.js';

/** One incarnation of a node. */
export interface Member {
  readonly node: string;
  readonly incarnation: string;
}

/** Who leads a role. The record is never removed, so that fencing tokens never repeat. */
export interface LeaderRecord {
  /** the leader; null: released, any candidate may acquire the role */
  readonly holder: Member | null;
  /** the node that released or transferred the role; it is the last candidate for the next leadership */
  readonly former: string | null;
  readonly token: FencingToken;
  /** time of day at which the leadership began, ms; for people only */
  readonly sinceMs: number;
}

/** An operator's request that another node leads a role. */
export interface LeadershipTransferRequest {
  /** null: any other node */
  readonly to: string | null;
  /** chosen by whoever asks: the same id is the same request */
  readonly id: string;
}

/** Keys of leader records begin with this; the rest is the role. */
export const LEADER_PREFIX = 'duties/holders/';
/** Keys of transfer requests begin with this; the rest is the role. */
export const TRANSFER_REQUEST_PREFIX = 'duties/wanted/';

/** The key of a role's leader record. */
export const leaderKey = (role: string): string => `${LEADER_PREFIX}${role}`;
/** The key of a role's transfer request. */
export const transferRequestKey = (role: string): string => `${TRANSFER_REQUEST_PREFIX}${role}`;

const nameSchema = z.string().min(1);
const memberSchema = z.object({ node: nameSchema, incarnation: nameSchema });
const leaderRecordSchema = z.object({
  holder: memberSchema.nullable(),
  former: nameSchema.nullable(),
  token: z.number().int().nonnegative().transform(fencingToken),
  sinceMs: z.number(),
});
const transferRequestSchema = z.object({ to: nameSchema.nullable(), id: nameSchema });

/** Reads a stored leader record; throws a `ZodError` if the value is none. */
export const decodeLeaderRecord = (value: unknown): LeaderRecord => leaderRecordSchema.parse(value);

/** Reads a stored transfer request; null if the value is none, since operators write these with tools of any version. */
export const decodeTransferRequest = (value: unknown): LeadershipTransferRequest | null =>
  transferRequestSchema.safeParse(value).data ?? null;
