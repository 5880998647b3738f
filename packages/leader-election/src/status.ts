/**
 * A description of who leads which role, for operators. `sumacstep duties --json` prints it as it is: the names of
 * its properties are a part of that output and never change.
 */
import { allSupportElection, isSameMember, type ElectionView } from './election-policy.js';
import type { FencingToken } from './fencing-token.js';

/** Until when a leadership lasts. */
export type LeadershipValidity =
  /** as long as the leader renews the lease of its incarnation */
  | { readonly kind: 'lease_renewed' }
  /** the leader's lease has ended: the next candidate takes over */
  | { readonly kind: 'lease_ended' }
  /** no node leads the role */
  | { readonly kind: 'vacant' };

/** A transfer request that is not carried out yet. */
export interface PendingTransferStatus {
  readonly to: string | null;
  readonly id: string;
  readonly waitsFor: string;
}

/** What is known of one role. */
export interface LeadershipStatus {
  /** the role */
  readonly duty: string;
  /** the leader's node */
  readonly holder: string | null;
  readonly incarnation: string | null;
  readonly token: FencingToken | null;
  /** time of day, ms */
  readonly sinceMs: number | null;
  readonly until: LeadershipValidity;
  /** an operator's transfer request that is not carried out yet */
  readonly handOver: PendingTransferStatus | null;
}

/** What is known of all roles. */
export interface LeadershipReport {
  readonly duties: readonly LeadershipStatus[];
  /** live nodes that do not support elections: no node leads until they have ended */
  readonly pausedBy: readonly string[];
}

const validityOf = (view: ElectionView, role: string): LeadershipValidity => {
  const leader = view.records.get(role)?.value.holder ?? null;
  if (leader === null) return { kind: 'vacant' };
  const live = view.members.some((member) => isSameMember(member, leader));
  return { kind: live ? 'lease_renewed' : 'lease_ended' };
};

const describeWait = (view: ElectionView, role: string, to: string | null): string => {
  if (!allSupportElection(view)) return 'a node that does not know duties';
  if (to !== null && !view.members.some((member) => member.node === to)) return `${to} to live`;
  return validityOf(view, role).kind === 'lease_renewed' ? 'the holder' : 'a new holder';
};

const pendingTransfer = (view: ElectionView, role: string): PendingTransferStatus | null => {
  const request = view.transferRequests.get(role)?.value;
  if (request === undefined) return null;
  return { to: request.to, id: request.id, waitsFor: describeWait(view, role, request.to) };
};

const statusOf = (view: ElectionView, role: string): LeadershipStatus => {
  const record = view.records.get(role)?.value;
  return {
    duty: role,
    holder: record?.holder?.node ?? null,
    incarnation: record?.holder?.incarnation ?? null,
    token: record?.token ?? null,
    sinceMs: record?.sinceMs ?? null,
    until: validityOf(view, role),
    handOver: pendingTransfer(view, role),
  };
};

/** Describes the named roles, and any others that the store has records of. */
export const describeLeadership = (
  view: ElectionView,
  roles: readonly string[],
): LeadershipReport => {
  const all = [...new Set([...roles, ...view.records.keys()])];
  return {
    duties: all.map((role) => statusOf(view, role)),
    pausedBy: view.members.filter((member) => !member.supportsElection).map(({ node }) => node),
  };
};
