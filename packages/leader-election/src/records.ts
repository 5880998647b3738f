/**
 * The records and keys of leader election in the store. Other versions and `sumacstep duties --json` use the same
 * property names and key prefixes, so these never change.
 */
import * as z from 'zod';
import { fencingToken, type FencingToken } from './fencing-token.js';

/** One incarnation of a node. */
export interface Member {
  readonly node: string;
  readonly incarnation: string;
}

/** Names the leader of a role. The record is never deleted, so that fencing tokens never repeat. */
export interface LeaderRecord {
  /** the leader; null: the role was released, and any candidate may acquire it */
  readonly holder: Member | null;
  /** the previous leader's node, which is the last candidate for the next leadership */
  readonly former: string | null;
  /** the fencing token of the leadership */
  readonly token: FencingToken;
  /** time of day when the record was written; it is shown to people and decides nothing */
  readonly sinceMs: number;
}

/** An operator's request to transfer a role to another node. */
export interface LeadershipTransferRequest {
  /** the requested node; null: any other node */
  readonly to: string | null;
  /** identifies the request, chosen by the requester; two requests with the same id are the same request */
  readonly id: string;
}

/** The prefix of leader records' keys; the rest of the key is the role. */
export const LEADER_PREFIX = 'duties/holders/';
/** The prefix of transfer requests' keys; the rest of the key is the role. */
export const TRANSFER_REQUEST_PREFIX = 'duties/wanted/';

/** Returns the key of a role's leader record. */
export const leaderKey = (role: string): string => `${LEADER_PREFIX}${role}`;
/** Returns the key of a role's transfer request. */
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

/** Decodes a stored leader record; throws a `ZodError` if the value is not one. */
export const decodeLeaderRecord = (value: unknown): LeaderRecord => leaderRecordSchema.parse(value);

/**
 * Decodes a stored transfer request. Returns null if the value is not one, because operators may write requests with
 * tools of any version.
 */
export const decodeTransferRequest = (value: unknown): LeadershipTransferRequest | null =>
  transferRequestSchema.safeParse(value).data ?? null;
