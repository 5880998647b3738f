/** The decisions of leader election, free of I/O: which nodes are candidates for a role, and what a node does next. */
import type { LeaderRecord, LeadershipTransferRequest, Member } from './records.js';
import type { Versioned } from './store.js';

/** An incarnation of a node whose lease is alive. */
export interface LiveMember extends Member {
  /** revision of the key that is attached to the lease */
  readonly revision: number;
  /** whether the node's version supports elections and its settings enable them */
  readonly supportsElection: boolean;
}

/** A node's view of members, leaders and transfer requests; it may lag behind the store. */
export interface ElectionView {
  readonly members: readonly LiveMember[];
  /** leader records by role */
  readonly records: ReadonlyMap<string, Versioned<LeaderRecord>>;
  /** transfer requests by role */
  readonly transferRequests: ReadonlyMap<string, Versioned<LeadershipTransferRequest>>;
}

/** An action of a node on a role. If the step is outdated by the time it is executed, its guards make it fail. */
export type ElectionStep =
  | {
      readonly kind: 'acquire';
      readonly role: string;
      readonly previous: Versioned<LeaderRecord> | null;
    }
  | {
      readonly kind: 'transfer';
      readonly role: string;
      readonly record: Versioned<LeaderRecord>;
      readonly request: Versioned<LeadershipTransferRequest>;
      /** the next leader; null: the role is released, for any other node to acquire */
      readonly to: LiveMember | null;
    }
  | {
      readonly kind: 'discard_request';
      readonly role: string;
      readonly request: Versioned<LeadershipTransferRequest>;
    };

/** Returns whether every live node supports elections. While one does not, no node leads any role. */
export const allSupportElection = (view: ElectionView): boolean =>
  view.members.length > 0 && view.members.every((member) => member.supportsElection);

/** Returns whether two members are the same incarnation of the same node. */
export const isSameMember = (left: Member, right: Member): boolean =>
  left.node === right.node && left.incarnation === right.incarnation;

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** The FNV-1a hash, which spreads roles over nodes that lead equally many. */
const fnv1a = (text: string): number => {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME) >>> 0;
  }
  return hash;
};

/** Counts the roles whose leader record names the node. */
const countRolesLedBy = (view: ElectionView, node: string): number => {
  let count = 0;
  for (const { value } of view.records.values()) if (value.holder?.node === node) count += 1;
  return count;
};

/**
 * Returns the nodes in the order in which they should try to acquire a vacant role: the former leader comes last, and
 * the other nodes are sorted by the number of roles they lead, fewest first.
 */
export const candidateOrder = (view: ElectionView, role: string): string[] => {
  const former = view.records.get(role)?.value.former ?? null;
  const nodes = [...new Set(view.members.map((member) => member.node))];
  const rank = (node: string): readonly [number, number, number] => [
    node === former ? 1 : 0,
    countRolesLedBy(view, node),
    fnv1a(`${role} ${node}`),
  ];
  return nodes.sort((leftNode, rightNode) => {
    const [left, right] = [rank(leftNode), rank(rightNode)];
    const differing = left.findIndex((value, i) => value !== right[i]);
    return differing < 0 ? (leftNode < rightNode ? -1 : 1) : left[differing]! - right[differing]!;
  });
};

/**
 * Decides what one node does about each role, from the leader records and the live members. Its only state is the time
 * since which each role has been vacant.
 */
export class ElectionPolicy {
  readonly #vacantSince = new Map<string, number>();

  constructor(
    private readonly self: Member,
    private readonly roles: readonly string[],
    /** delay by which each candidate starts after the candidate before it */
    private readonly candidateDelayMs: number,
  ) {}

  /** Returns the steps to take at `now` (monotonic clock, ms). */
  steps(view: ElectionView, now: number): ElectionStep[] {
    if (!allSupportElection(view)) return [];
    const steps = this.roles.map((role) => this.#step(role, view, now));
    return steps.filter((step) => step !== null);
  }

  #step(role: string, view: ElectionView, now: number): ElectionStep | null {
    const record = view.records.get(role) ?? null;
    const leader = record?.value.holder ?? null;
    if (record !== null && leader !== null && isSameMember(leader, this.self)) {
      this.#vacantSince.delete(role);
      return this.#stepAsLeader(role, record, view);
    }
    if (leader !== null && view.members.some((member) => isSameMember(member, leader))) {
      // The record names an earlier incarnation of this node: that process has ended, even if its lease is still alive.
      if (leader.node === this.self.node) return { kind: 'acquire', role, previous: record };
      this.#vacantSince.delete(role);
      return null;
    }
    return this.#stepWhileVacant(role, record, view, now);
  }

  #stepAsLeader(
    role: string,
    record: Versioned<LeaderRecord>,
    view: ElectionView,
  ): ElectionStep | null {
    const request = view.transferRequests.get(role);
    if (request === undefined) return null;
    const { to } = request.value;
    if (to === this.self.node) return { kind: 'discard_request', role, request };
    if (to === null) return { kind: 'transfer', role, record, request, to: null };
    // If two incarnations of the node are live, only the later one is running.
    const incarnations = view.members.filter((member) => member.node === to);
    const latest = incarnations.sort((a, b) => b.revision - a.revision)[0];
    return latest === undefined ? null : { kind: 'transfer', role, record, request, to: latest };
  }

  #stepWhileVacant(
    role: string,
    previous: Versioned<LeaderRecord> | null,
    view: ElectionView,
    now: number,
  ): ElectionStep | null {
    const since = this.#vacantSince.get(role) ?? now;
    this.#vacantSince.set(role, since);
    const requestedNode = view.transferRequests.get(role)?.value.to ?? null;
    const order = candidateOrder(view, role);
    // The node that an operator requested is the first candidate.
    if (requestedNode !== null) {
      order.sort((a, b) => Number(b === requestedNode) - Number(a === requestedNode));
    }
    const position = order.indexOf(this.self.node);
    if (position < 0 || now - since < position * this.candidateDelayMs) return null;
    return { kind: 'acquire', role, previous };
  }
}
