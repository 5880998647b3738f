/** Codec of the stored state of leader election and of the singleton controllers (`duties/`). */
import {
  decodeLeaderRecord,
  decodeTransferRequest,
  decodeRetention,
  LEADER_PREFIX,
  TRANSFER_REQUEST_PREFIX,
  type LeaderRecord,
  type LeadershipTransferRequest,
  type RetentionRecord,
} from '@sumacstep/leader-election';
import * as z from 'zod';
import { electionEntryKey, ELECTIONS_PREFIX, RETURN_INTENTS_PREFIX } from '../keys.js';

/**
 * A decoded value under the prefix. `record` names the leader of a role, `request` asks for a transfer of its
 * leadership, `returns` lists machines whose return was decided, and `retention` is the retention clock. Values of
 * other versions and keys of other kinds are `other` and must not be changed.
 */
export type ElectionEntry =
  | { readonly kind: 'record'; readonly role: string; readonly record: LeaderRecord }
  | { readonly kind: 'request'; readonly role: string; readonly request: LeadershipTransferRequest }
  | { readonly kind: 'returns'; readonly machines: ReadonlySet<string> }
  | { readonly kind: 'retention'; readonly retention: RetentionRecord }
  | { readonly kind: 'other' };

const storedReturnIntentsSchema = z.object({ machines: z.array(z.string()) });

/** Returns the stored form of a list of machines whose return to the cloud was decided. */
export const encodeReturnIntents = (
  machines: readonly string[],
): { readonly machines: readonly string[] } => ({ machines });

/** Returns the stored form of the marker that each deletion of final states writes (`electionEntryKey.acceptance`). */
export const encodeAcceptanceMarker = (fencingToken: number): { readonly token: number } => ({
  token: fencingToken,
});

/** Decodes a stored entry; `id` is the key without its prefix. */
export const decodeElectionEntry = (id: string, value: unknown): ElectionEntry => {
  const key = `${ELECTIONS_PREFIX}${id}`;
  if (key.startsWith(LEADER_PREFIX)) {
    return {
      kind: 'record',
      role: key.slice(LEADER_PREFIX.length),
      record: decodeLeaderRecord(value),
    };
  }
  if (key.startsWith(TRANSFER_REQUEST_PREFIX)) {
    const role = key.slice(TRANSFER_REQUEST_PREFIX.length);
    const request = decodeTransferRequest(value);
    return request === null ? { kind: 'other' } : { kind: 'request', role, request };
  }
  if (key.startsWith(RETURN_INTENTS_PREFIX)) {
    return { kind: 'returns', machines: new Set(storedReturnIntentsSchema.parse(value).machines) };
  }
  if (key === electionEntryKey.retention) {
    return { kind: 'retention', retention: decodeRetention(value) };
  }
  return { kind: 'other' };
};
