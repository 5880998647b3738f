import { allKnowDuties, sameMember, type DutyView } from './election.js';
import type { FencingToken } from './fencing-token.js';

/** Until when a duty is held. */
export type HeldUntil =
  /** as long as the holder renews the lease of its life */
  | { readonly kind: 'lease_renewed' }
  /** the holder's lease has ended: the next candidate takes over */
  | { readonly kind: 'lease_ended' }
  /** nobody holds it */
  | { readonly kind: 'vacant' };

/** What can be told of one duty. */
export interface DutyStatus {
  readonly duty: string;
  readonly holder: string | null;
  readonly incarnation: string | null;
  readonly token: FencingToken | null;
  readonly sinceMs: number | null;
  readonly until: HeldUntil;
  /** an operator's request that is not carried out yet */
  readonly handOver: {
    readonly to: string | null;
    readonly id: string;
    readonly waitsFor: string;
  } | null;
}

/** What can be told of all duties. */
export interface DutiesReport {
  readonly duties: readonly DutyStatus[];
  /** living nodes that don't know duties: nobody acts until they are gone */
  readonly pausedBy: readonly string[];
}

const until = (view: DutyView, duty: string): HeldUntil => {
  const holder = view.records.get(duty)?.value.holder ?? null;
  if (holder === null) return { kind: 'vacant' };
  const living = view.members.some((m) => sameMember(m, holder));
  return { kind: living ? 'lease_renewed' : 'lease_ended' };
};

const waitsFor = (view: DutyView, duty: string, to: string | null): string => {
  if (!allKnowDuties(view)) return 'a node that does not know duties';
  if (to !== null && !view.members.some((m) => m.node === to)) return `${to} to live`;
  return until(view, duty).kind === 'lease_renewed' ? 'the holder' : 'a new holder';
};

/** Describes the named duties, and any others that the store has records of. */
export const describeDuties = (view: DutyView, names: readonly string[]): DutiesReport => {
  const all = [...new Set([...names, ...view.records.keys()])];
  const duties = all.map((duty): DutyStatus => {
    const record = view.records.get(duty)?.value;
    const request = view.requests.get(duty)?.value;
    return {
      duty,
      holder: record?.holder?.node ?? null,
      incarnation: record?.holder?.incarnation ?? null,
      token: record?.token ?? null,
      sinceMs: record?.sinceMs ?? null,
      until: until(view, duty),
      handOver:
        request === undefined
          ? null
          : { to: request.to, id: request.id, waitsFor: waitsFor(view, duty, request.to) },
    };
  });
  const pausedBy = view.members.filter((m) => !m.knowsDuties).map((m) => m.node);
  return { duties, pausedBy };
};
