/** Codec of what the store holds of leader election and singleton controllers (`duties/`). */
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

/** One value under the prefix. A value of another version is `other` and is left alone. */
export type ElectionEntry =
  | { readonly kind: 'record'; readonly role: string; readonly record: LeaderRecord }
  | { readonly kind: 'request'; readonly role: string; readonly request: LeadershipTransferRequest }
  | { readonly kind: 'returns'; readonly machines: ReadonlySet<string> }
  | { readonly kind: 'retention'; readonly retention: RetentionRecord }
  | { readonly kind: 'other' };

const storedReturnIntentsSchema = z.object({ machines: z.array(z.string()) });

/** Machines whose return was decided, as they are stored. */
export const encodeReturnIntents = (
  machines: readonly string[],
): { readonly machines: readonly string[] } => ({ machines });

/** The marker that changes with every garbage collection of final states, as it is stored. */
export const encodeAcceptanceMarker = (fencingToken: number): { readonly token: number } => ({
  token: fencingToken,
});

/** Reads a stored entry; `id` is the key without its prefix. */
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
    const duty = key.slice(TRANSFER_REQUEST_PREFIX.length);
    const request = decodeTransferRequest(value);
    return request === null ? { kind: 'other' } : { kind: 'request', role: duty, request };
  }
  if (key.startsWith(RETURN_INTENTS_PREFIX)) {
    return { kind: 'returns', machines: new Set(storedReturnIntentsSchema.parse(value).machines) };
  }
  if (key === electionEntryKey.retention) {
    return { kind: 'retention', retention: decodeRetention(value) };
  }
  return { kind: 'other' };
};
