import type { DutyRecord, HandOverRequest, Member } from './records.js';
import type { Versioned } from './store.js';

/** A life of a node whose lease lives. */
export interface LivingMember extends Member {
  /** of the key that stands for this life */
  readonly revision: number;
  /** whether its version knows duties, and its settings switch them on */
  readonly knowsDuties: boolean;
}

/** What a node knows of members and duties, maybe somewhat late. */
export interface DutyView {
  readonly members: readonly LivingMember[];
  readonly records: ReadonlyMap<string, Versioned<DutyRecord>>;
  readonly requests: ReadonlyMap<string, Versioned<HandOverRequest>>;
}

/** What a node should do about a duty. Each is right at any later time, too, or fails by its conditions. */
export type DutyStep =
  | {
      readonly kind: 'acquire';
      readonly duty: string;
      readonly previous: Versioned<DutyRecord> | null;
    }
  | {
      readonly kind: 'hand_over';
      readonly duty: string;
      readonly record: Versioned<DutyRecord>;
      readonly request: Versioned<HandOverRequest>;
      /** null: released, since any other node will do */
      readonly to: LivingMember | null;
    }
  | {
      readonly kind: 'drop_request';
      readonly duty: string;
      readonly request: Versioned<HandOverRequest>;
    };

/** Whether every living node knows the duties: before that nobody acts for one. */
export const allKnowDuties = (view: DutyView): boolean =>
  view.members.length > 0 && view.members.every((m) => m.knowsDuties);

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
const heldBy = (view: DutyView, node: string): number => {
  let held = 0;
  for (const { value } of view.records.values()) if (value.holder?.node === node) held += 1;
  return held;
};

/** Nodes in the order in which they should try to get a vacant duty. */
export const candidateOrder = (view: DutyView, duty: string): string[] => {
  const former = view.records.get(duty)?.value.former ?? null;
  const nodes = [...new Set(view.members.map((m) => m.node))];
  const rank = (node: string): readonly [number, number, number] => [
    node === former ? 1 : 0,
    heldBy(view, node),
    hash(`${duty} ${node}`),
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
export class Election {
  readonly #vacantSince = new Map<string, number>();

  constructor(
    private readonly me: Member,
    private readonly duties: readonly string[],
    /** ms that each later candidate leaves to the one before it */
    private readonly graceMs: number,
  ) {}

  /** The steps to take now (steady ms). */
  steps(view: DutyView, now: number): DutyStep[] {
    if (!allKnowDuties(view)) return [];
    const steps = this.duties.map((duty) => this.#step(duty, view, now));
    return steps.filter((step) => step !== null);
  }

  #step(duty: string, view: DutyView, now: number): DutyStep | null {
    const record = view.records.get(duty) ?? null;
    const holder = record?.value.holder ?? null;
    if (record !== null && holder !== null && sameMember(holder, this.me)) {
      this.#vacantSince.delete(duty);
      return this.#asHolder(duty, record, view);
    }
    if (holder !== null && view.members.some((m) => sameMember(m, holder))) {
      // An earlier life of this node: that process has ended, even if its lease still lives.
      if (holder.node === this.me.node) return { kind: 'acquire', duty, previous: record };
      this.#vacantSince.delete(duty);
      return null;
    }
    return this.#whileVacant(duty, record, view, now);
  }

  #asHolder(duty: string, record: Versioned<DutyRecord>, view: DutyView): DutyStep | null {
    const request = view.requests.get(duty);
    if (request === undefined) return null;
    const { to } = request.value;
    if (to === this.me.node) return { kind: 'drop_request', duty, request };
    if (to === null) return { kind: 'hand_over', duty, record, request, to: null };
    // Of two lives of a node, the later one is the one that runs.
    const lives = view.members.filter((m) => m.node === to);
    const latest = lives.sort((a, b) => b.revision - a.revision)[0];
    return latest === undefined ? null : { kind: 'hand_over', duty, record, request, to: latest };
  }

  #whileVacant(
    duty: string,
    previous: Versioned<DutyRecord> | null,
    view: DutyView,
    now: number,
  ): DutyStep | null {
    const since = this.#vacantSince.get(duty) ?? now;
    this.#vacantSince.set(duty, since);
    const wanted = view.requests.get(duty)?.value.to ?? null;
    const order = candidateOrder(view, duty);
    // Whom an operator asked for goes first.
    if (wanted !== null) order.sort((a, b) => Number(b === wanted) - Number(a === wanted));
    const position = order.indexOf(this.me.node);
    if (position < 0 || now - since < position * this.graceMs) return null;
    return { kind: 'acquire', duty, previous };
  }
}
