import {
  decodeDuty,
  decodeHandOver,
  decodeRetention,
  DUTY_PREFIX,
  HAND_OVER_PREFIX,
  type DutyRecord,
  type HandOverRequest,
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
  | { readonly kind: 'record'; readonly duty: string; readonly record: DutyRecord }
  | { readonly kind: 'request'; readonly duty: string; readonly request: HandOverRequest }
  | { readonly kind: 'returns'; readonly machines: ReadonlySet<string> }
  | { readonly kind: 'retention'; readonly retention: RetentionRecord }
  | { readonly kind: 'other' };

const returns = z.object({ machines: z.array(z.string()) });

export const encodeReturnIntents = (machines: readonly string[]): unknown => ({ machines });

/** `id` is the key without the prefix. */
export const decodeElectionEntry = (id: string, value: unknown): ElectionEntry => {
  const key = `${DUTIES}${id}`;
  if (key.startsWith(DUTY_PREFIX)) {
    return { kind: 'record', duty: key.slice(DUTY_PREFIX.length), record: decodeDuty(value) };
  }
  if (key.startsWith(HAND_OVER_PREFIX)) {
    const duty = key.slice(HAND_OVER_PREFIX.length);
    const request = decodeHandOver(value);
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
