/**
 * A report for operators of which node leads which role. `sumacstep duties --json` prints it unchanged, so the names of
 * its properties never change.
 */
import { allSupportElection, isSameMember, type ElectionView } from './election-policy.js';
import type { FencingToken } from './fencing-token.js';

/** The condition under which a leadership lasts. */
export type LeadershipValidity =
  /** the leadership lasts while the leader renews the lease of its incarnation */
  | { readonly kind: 'lease_renewed' }
  /** the leader's lease has ended, and the next candidate takes over */
  | { readonly kind: 'lease_ended' }
  /** no node leads the role */
  | { readonly kind: 'vacant' };

/** A transfer request that has not been executed yet. */
export interface PendingTransferStatus {
  /** the requested node; null: any other node */
  readonly to: string | null;
  /** the requester's id of the request */
  readonly id: string;
  /** the condition that the transfer waits for, in words */
  readonly waitsFor: string;
}

/** The status of one role. */
export interface LeadershipStatus {
  /** the role */
  readonly duty: string;
  /** the leader's node; null if the role is vacant */
  readonly holder: string | null;
  /** the leader's incarnation; null if the role is vacant */
  readonly incarnation: string | null;
  /** the fencing token in the leader record; null if the role has no record */
  readonly token: FencingToken | null;
  /** time of day when the leader record was written; null if the role has no record */
  readonly sinceMs: number | null;
  readonly until: LeadershipValidity;
  /** an operator's transfer request that has not been executed yet */
  readonly handOver: PendingTransferStatus | null;
}

/** The status of all roles. */
export interface LeadershipReport {
  readonly duties: readonly LeadershipStatus[];
  /** live nodes that do not support elections; while there are any, no node leads a role */
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

/** Reports the status of the given roles, and of all other roles that have a leader record in the store. */
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
