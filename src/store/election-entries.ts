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

/** What the state service holds of exclusive duties, all under one prefix. */
export const DUTIES = 'duties/';

const RETURNS = `${DUTIES}returns/`;

/** Machines of a shard that are being returned, or machines that no shard has a record of. */
export type ReturnIntentList = number | 'unrecorded';

export const electionEntryKey = {
  /** machines whose return was decided: nobody may count on them any more */
  returns: (list: ReturnIntentList) => `${RETURNS}${list}`,
  /** how much time has been observed since which revision */
  retention: `${DUTIES}retention`,
  /** changes whenever a final state is cleared: acceptances from before then fail */
  acceptance: `${DUTIES}acceptance`,
} as const;

/** One value under the prefix. */
export type ElectionEntry =
  | { readonly kind: 'record'; readonly duty: string; readonly record: LeaderRecord }
  | { readonly kind: 'request'; readonly duty: string; readonly request: LeadershipTransferRequest }
  | { readonly kind: 'returns'; readonly machines: ReadonlySet<string> }
  | { readonly kind: 'retention'; readonly retention: RetentionRecord }
  | { readonly kind: 'other' };

const returns = z.object({ machines: z.array(z.string()) });

export const encodeReturnIntents = (machines: readonly string[]): unknown => ({ machines });

/** `id` is the key without the prefix. */
export const decodeElectionEntry = (id: string, value: unknown): ElectionEntry => {
  const key = `${DUTIES}${id}`;
  if (key.startsWith(LEADER_PREFIX)) {
    return {
      kind: 'record',
      duty: key.slice(LEADER_PREFIX.length),
      record: decodeLeaderRecord(value),
    };
  }
  if (key.startsWith(TRANSFER_REQUEST_PREFIX)) {
    const duty = key.slice(TRANSFER_REQUEST_PREFIX.length);
    const request = decodeTransferRequest(value);
    return request === null ? { kind: 'other' } : { kind: 'request', duty, request };
  }
  if (key.startsWith(RETURNS)) {
    return { kind: 'returns', machines: new Set(returns.parse(value).machines) };
  }
  if (key === electionEntryKey.retention) {
    return { kind: 'retention', retention: decodeRetention(value) };
  }
  return { kind: 'other' };
};
