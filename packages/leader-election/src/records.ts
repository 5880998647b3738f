import * as z from 'zod';
import { fencingToken, type FencingToken } from './fencing-token.js';

/** What the store holds of duties. */

/** One life of a node. */
export interface Member {
  readonly node: string;
  readonly incarnation: string;
}

/** Who holds a duty. The record is never removed, so that tokens never repeat. */
export interface LeaderRecord {
  /** null: released, anybody may take it */
  readonly holder: Member | null;
  /** the node that released it or handed it over; it comes last when a new holder is looked for */
  readonly former: string | null;
  readonly token: FencingToken;
  /** time of day at which the tenure began, ms; for people only */
  readonly sinceMs: number;
}

/** What an operator wants: the duty at another node. */
export interface LeadershipTransferRequest {
  /** null: any other node */
  readonly to: string | null;
  /** chosen by whoever asks: the same id is the same request */
  readonly id: string;
}

/** Keys begin with this; the rest is the duty's name. */
export const LEADER_PREFIX = 'duties/holders/';
/** Keys of requests begin with this; the rest is the duty's name. */
export const TRANSFER_REQUEST_PREFIX = 'duties/wanted/';

export const leaderKey = (duty: string): string => `${LEADER_PREFIX}${duty}`;
export const transferRequestKey = (duty: string): string => `${TRANSFER_REQUEST_PREFIX}${duty}`;

const name = z.string().min(1);
const member = z.object({ node: name, incarnation: name });
const record = z.object({
  holder: member.nullable(),
  former: name.nullable(),
  token: z.number().int().nonnegative().transform(fencingToken),
  sinceMs: z.number(),
});
const request = z.object({ to: name.nullable(), id: name });

/** Reads a stored record; throws if it is none. */
export const decodeLeaderRecord = (value: unknown): LeaderRecord => record.parse(value);
/** Reads a stored request; null if it is none, since people write these with tools of any version. */
export const decodeTransferRequest = (value: unknown): LeadershipTransferRequest | null =>
  request.safeParse(value).data ?? null;
