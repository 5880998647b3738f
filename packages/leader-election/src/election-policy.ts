import type { LeaderRecord, LeadershipTransferRequest, Member } from './records.js';
import type { Versioned } from './store.js';

/** A life of a node whose lease lives. */
export interface LiveMember extends Member {
  /** of the key that stands for this life */
  readonly revision: number;
  /** whether its version knows duties, and its settings switch them on */
  readonly supportsElection: boolean;
}

/** What a node knows of members and duties, maybe somewhat late. */
export interface ElectionView {
  readonly members: readonly LiveMember[];
  readonly records: ReadonlyMap<string, Versioned<LeaderRecord>>;
  readonly transferRequests: ReadonlyMap<string, Versioned<LeadershipTransferRequest>>;
}

/** What a node should do about a duty. Each is right at any later time, too, or fails by its conditions. */
export type ElectionStep =
  | {
      readonly kind: 'acquire';
      readonly role: string;
      readonly previous: Versioned<LeaderRecord> | null;
    }
  | {
      readonly kind: 'hand_over';
      readonly role: string;
      readonly record: Versioned<LeaderRecord>;
      readonly request: Versioned<LeadershipTransferRequest>;
      /** null: released, since any other node will do */
      readonly to: LiveMember | null;
    }
  | {
      readonly kind: 'drop_request';
      readonly role: string;
      readonly request: Versioned<LeadershipTransferRequest>;
    };

/** Whether every living node knows the duties: before that nobody acts for one. */
export const allSupportElection = (view: ElectionView): boolean =>
  view.members.length > 0 && view.members.every((m) => m.supportsElection);

/** Whether two lives are the same. */
export const sameMember = (a: Member, b: Member): boolean =>
  a.node === b.node && a.incarnation === b.incarnation;

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** FNV-1a: spreads the duties over nodes that hold equally many. */
const hash = (text: string): number => {
  let value = FNV_OFFSET;
  for (let i = 0; i < text.length; i++) {
    value = Math.imul(value ^ text.charCodeAt(i), FNV_PRIME) >>> 0;
  }
  return value;
};

/** The duties that a node holds by the records. */
const heldBy = (view: ElectionView, node: string): number => {
  let held = 0;
  for (const { value } of view.records.values()) if (value.holder?.node === node) held += 1;
  return held;
};

/** Nodes in the order in which they should try to get a vacant duty. */
export const candidateOrder = (view: ElectionView, role: string): string[] => {
  const former = view.records.get(role)?.value.former ?? null;
  const nodes = [...new Set(view.members.map((m) => m.node))];
  const rank = (node: string): readonly [number, number, number] => [
    node === former ? 1 : 0,
    heldBy(view, node),
    hash(`${role} ${node}`),
  ];
  return nodes.sort((a, b) => {
    const [left, right] = [rank(a), rank(b)];
    const differing = left.findIndex((value, i) => value !== right[i]);
    return differing < 0 ? (a < b ? -1 : 1) : left[differing]! - right[differing]!;
  });
};

/**
 * Decides what one node does about duties, by the records and by who lives. Pure but for its memory of
 * how long each duty has been vacant.
 */
export class ElectionPolicy {
  readonly #vacantSince = new Map<string, number>();

  constructor(
    private readonly self: Member,
    private readonly roles: readonly string[],
    /** ms that each later candidate leaves to the one before it */
    private readonly candidateDelayMs: number,
  ) {}

  /** The steps to take now (steady ms). */
  steps(view: ElectionView, now: number): ElectionStep[] {
    if (!allSupportElection(view)) return [];
    const steps = this.roles.map((role) => this.#step(role, view, now));
    return steps.filter((step) => step !== null);
  }

  #step(role: string, view: ElectionView, now: number): ElectionStep | null {
    const record = view.records.get(role) ?? null;
    const holder = record?.value.holder ?? null;
    if (record !== null && holder !== null && sameMember(holder, this.self)) {
      this.#vacantSince.delete(role);
      return this.#asHolder(role, record, view);
    }
    if (holder !== null && view.members.some((m) => sameMember(m, holder))) {
      // An earlier life of this node: that process has ended, even if its lease still lives.
      if (holder.node === this.self.node) return { kind: 'acquire', role, previous: record };
      this.#vacantSince.delete(role);
      return null;
    }
    return this.#whileVacant(role, record, view, now);
  }

  #asHolder(
    role: string,
    record: Versioned<LeaderRecord>,
    view: ElectionView,
  ): ElectionStep | null {
    const request = view.transferRequests.get(role);
    if (request === undefined) return null;
    const { to } = request.value;
    if (to === this.self.node) return { kind: 'drop_request', role, request };
    if (to === null) return { kind: 'hand_over', role, record, request, to: null };
    // Of two lives of a node, the later one is the one that runs.
    const lives = view.members.filter((m) => m.node === to);
    const latest = lives.sort((a, b) => b.revision - a.revision)[0];
    return latest === undefined ? null : { kind: 'hand_over', role, record, request, to: latest };
  }

  #whileVacant(
    role: string,
    previous: Versioned<LeaderRecord> | null,
    view: ElectionView,
    now: number,
  ): ElectionStep | null {
    const since = this.#vacantSince.get(role) ?? now;
    this.#vacantSince.set(role, since);
    const wanted = view.transferRequests.get(role)?.value.to ?? null;
    const order = candidateOrder(view, role);
    // Whom an operator asked for goes first.
    if (wanted !== null) order.sort((a, b) => Number(b === wanted) - Number(a === wanted));
    const position = order.indexOf(this.self.node);
    if (position < 0 || now - since < position * this.candidateDelayMs) return null;
    return { kind: 'acquire', role, previous };
  }
}
