/** The decisions of leader election, without any input or output: who is a candidate, and who takes the next step. */
import type { LeaderRecord, LeadershipTransferRequest, Member } from './records.js';
import type { Versioned } from './store.js';

/** A node incarnation whose lease is alive. */
export interface LiveMember extends Member {
  /** of the key that the lease keeps alive */
  readonly revision: number;
  /** whether its version takes part in elections, and its settings switch them on */
  readonly supportsElection: boolean;
}

/** What a node knows of members, leaders and transfer requests; it may lag behind the store. */
export interface ElectionView {
  readonly members: readonly LiveMember[];
  /** by role */
  readonly records: ReadonlyMap<string, Versioned<LeaderRecord>>;
  /** by role */
  readonly transferRequests: ReadonlyMap<string, Versioned<LeadershipTransferRequest>>;
}

/** What a node should do about a role. Each step is still right later, or fails by its guards. */
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
      /** null: released, for any other node to acquire */
      readonly to: LiveMember | null;
    }
  | {
      readonly kind: 'discard_request';
      readonly role: string;
      readonly request: Versioned<LeadershipTransferRequest>;
    };

/** Whether every live node takes part in elections: before that nobody leads. */
export const allSupportElection = (view: ElectionView): boolean =>
  view.members.length > 0 && view.members.every((member) => member.supportsElection);

/** Whether two members are the same incarnation of the same node. */
export const isSameMember = (a: Member, b: Member): boolean =>
  a.node === b.node && a.incarnation === b.incarnation;

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** FNV-1a: spreads the roles over nodes that lead equally many. */
const fnv1a = (text: string): number => {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME) >>> 0;
  }
  return hash;
};

/** How many roles a node leads by the records. */
const countRolesLedBy = (view: ElectionView, node: string): number => {
  let led = 0;
  for (const { value } of view.records.values()) if (value.holder?.node === node) led += 1;
  return led;
};

/**
 * Nodes in the order in which they should try to acquire a vacant role: the former leader last, those that lead
 * fewer roles first.
 */
export const candidateOrder = (view: ElectionView, role: string): string[] => {
  const former = view.records.get(role)?.value.former ?? null;
  const nodes = [...new Set(view.members.map((member) => member.node))];
  const rank = (node: string): readonly [number, number, number] => [
    node === former ? 1 : 0,
    countRolesLedBy(view, node),
    fnv1a(`${role} ${node}`),
  ];
  return nodes.sort((a, b) => {
    const [left, right] = [rank(a), rank(b)];
    const differing = left.findIndex((value, i) => value !== right[i]);
    return differing < 0 ? (a < b ? -1 : 1) : left[differing]! - right[differing]!;
  });
};

/**
 * Decides what one node does about each role, by the leader records and by which members are live. Pure but for
 * its memory of how long each role has been vacant.
 */
export class ElectionPolicy {
  readonly #vacantSince = new Map<string, number>();

  constructor(
    private readonly self: Member,
    private readonly roles: readonly string[],
    /** ms that each candidate waits for the one before it */
    private readonly candidateDelayMs: number,
  ) {}

  /** The steps to take at `now` (steady clock, ms). */
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
      // An earlier incarnation of this node: that process has ended, even if its lease is still alive.
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
    // Of two incarnations of a node, the later one is the one that runs.
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
    // The node that an operator asked for goes first.
    if (requestedNode !== null) {
      order.sort((a, b) => Number(b === requestedNode) - Number(a === requestedNode));
    }
    const position = order.indexOf(this.self.node);
    if (position < 0 || now - since < position * this.candidateDelayMs) return null;
    return { kind: 'acquire', role, previous };
  }
}
