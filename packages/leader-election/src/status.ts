import { allSupportElection, sameMember, type ElectionView } from './election-policy.js';
import type { FencingToken } from './fencing-token.js';

/** Until when a duty is held. */
export type LeadershipValidity =
  /** as long as the holder renews the lease of its life */
  | { readonly kind: 'lease_renewed' }
  /** the holder's lease has ended: the next candidate takes over */
  | { readonly kind: 'lease_ended' }
  /** nobody holds it */
  | { readonly kind: 'vacant' };

/** What can be told of one duty. */
export interface LeadershipStatus {
  readonly duty: string;
  readonly holder: string | null;
  readonly incarnation: string | null;
  readonly token: FencingToken | null;
  readonly sinceMs: number | null;
  readonly until: LeadershipValidity;
  /** an operator's request that is not carried out yet */
  readonly handOver: {
    readonly to: string | null;
    readonly id: string;
    readonly waitsFor: string;
  } | null;
}

/** What can be told of all duties. */
export interface LeadershipReport {
  readonly duties: readonly LeadershipStatus[];
  /** living nodes that don't know duties: nobody acts until they are gone */
  readonly pausedBy: readonly string[];
}

const until = (view: ElectionView, duty: string): LeadershipValidity => {
  const holder = view.records.get(duty)?.value.holder ?? null;
  if (holder === null) return { kind: 'vacant' };
  const living = view.members.some((m) => sameMember(m, holder));
  return { kind: living ? 'lease_renewed' : 'lease_ended' };
};

const waitsFor = (view: ElectionView, duty: string, to: string | null): string => {
  if (!allSupportElection(view)) return 'a node that does not know duties';
  if (to !== null && !view.members.some((m) => m.node === to)) return `${to} to live`;
  return until(view, duty).kind === 'lease_renewed' ? 'the holder' : 'a new holder';
};

/** Describes the named duties, and any others that the store has records of. */
export const describeLeadership = (
  view: ElectionView,
  names: readonly string[],
): LeadershipReport => {
  const all = [...new Set([...names, ...view.records.keys()])];
  const duties = all.map((duty): LeadershipStatus => {
    const record = view.records.get(duty)?.value;
    const request = view.transferRequests.get(duty)?.value;
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
  const pausedBy = view.members.filter((m) => !m.supportsElection).map((m) => m.node);
  return { duties, pausedBy };
};
