/** Decides which node should own which shard, from the state that the store shows and without input or output. */
import {
  FAILBACK_HOLD_MS,
  MAX_FAILBACK_DELAY_MS,
  FAILBACK_DELAY_MS,
  FAILOVER_GRACE_MS,
} from './constants.js';

/** The node that owns a shard, and its incarnation; every start of a node is a new incarnation. */
export interface Owner {
  readonly owner: string;
  readonly incarnation: string;
}

/** The nodes and the owners of shards, as the store shows them to one node. */
export interface OwnershipView {
  /** the node that decides */
  readonly node: string;
  readonly incarnation: string;
  /** all configured nodes, sorted by name */
  readonly nodes: readonly string[];
  /** incarnations with a valid lease, by node; a node that restarts quickly has two for a while */
  readonly live: ReadonlyMap<string, ReadonlySet<string>>;
  readonly owners: ReadonlyMap<number, Owner>;
  readonly shardCount: number;
}

/** A change of ownership that the deciding node should carry out. */
export type OwnershipStep =
  | { readonly kind: 'acquire'; readonly shard: number }
  | {
      readonly kind: 'transfer';
      readonly shard: number;
      readonly to: string;
      readonly incarnation: string;
    };

/** The time since which a node has been eligible to get a shard back. */
interface EligibleSince {
  readonly incarnation: string;
  /** monotonic ms */
  readonly at: number;
}

/** Transfers of one shard from its preferred node, while that was live, to the deciding node. */
interface ReceivedTransfers {
  /** when the last transfer was observed, monotonic ms */
  readonly at: number;
  readonly count: number;
}

/** Returns the node that should own the shard while all nodes are live. */
export const preferredNode = (shard: number, nodes: readonly string[]): string =>
  nodes[shard % nodes.length]!;

const isLive = (view: OwnershipView, { owner, incarnation }: Owner): boolean =>
  view.live.get(owner)?.has(incarnation) ?? false;

/** Returns a delay in ms that doubles with each repetition, up to `MAX_FAILBACK_DELAY_MS`. */
const backoffMs = (firstMs: number, repetitions: number): number =>
  Math.min(MAX_FAILBACK_DELAY_MS, firstMs * 2 ** repetitions);

/** Decides on failover and failback. Tracks since when shards have had no live owner and nodes have been eligible. */
export class OwnershipPolicy {
  /** by shard, monotonic ms */
  readonly #ownerlessSince = new Map<number, number>();
  /** by node */
  readonly #eligibleSince = new Map<string, EligibleSince>();
  /** by shard: number of failbacks from this node */
  readonly #failbacks = new Map<number, number>();
  /** by shard: its owner at the last decision */
  readonly #lastOwners = new Map<number, Owner>();
  /** by shard */
  readonly #receivedTransfers = new Map<number, ReceivedTransfers>();

  /**
   * Returns the steps that are due. `eligibleIncarnation` returns the incarnation of a node that may get a shard,
   * because it is reachable and connected to the store, and null for any other node.
   */
  decide(
    view: OwnershipView,
    now: number,
    eligibleIncarnation: (node: string) => string | null,
  ): OwnershipStep[] {
    this.#observeEligibleNodes(view, now, eligibleIncarnation);
    const steps: OwnershipStep[] = [];
    for (let shard = 0; shard < view.shardCount; shard++) {
      const step = this.#decideShard(shard, view, now);
      if (step !== null) steps.push(step);
    }
    return steps;
  }

  /** Records a failback of the shard, which doubles the delay before its next failback. */
  recordFailback(shard: number): void {
    this.#failbacks.set(shard, (this.#failbacks.get(shard) ?? 0) + 1);
  }

  #observeEligibleNodes(
    view: OwnershipView,
    now: number,
    eligibleIncarnation: (node: string) => string | null,
  ): void {
    for (const node of view.nodes) {
      const incarnation = eligibleIncarnation(node);
      if (incarnation === null || !view.live.get(node)?.has(incarnation)) {
        this.#eligibleSince.delete(node);
      } else if (this.#eligibleSince.get(node)?.incarnation !== incarnation) {
        this.#eligibleSince.set(node, { incarnation, at: now });
      }
    }
  }

  #decideShard(shard: number, view: OwnershipView, now: number): OwnershipStep | null {
    const owner = view.owners.get(shard);
    this.#observeTransfer(shard, view, now);
    if (owner === undefined || !isLive(view, owner)) return this.#decideFailover(shard, view, now);
    this.#ownerlessSince.delete(shard);
    if (owner.owner !== view.node) return null;
    if (preferredNode(shard, view.nodes) !== view.node) {
      return this.#decideFailback(shard, view, now);
    }
    // If the owner is an earlier incarnation of this node, its process has ended.
    return owner.incarnation === view.incarnation ? null : { kind: 'acquire', shard };
  }

  /** Returns a shard to its preferred node once that node has been eligible for long enough. */
  #decideFailback(shard: number, view: OwnershipView, now: number): OwnershipStep | null {
    const to = preferredNode(shard, view.nodes);
    const eligible = this.#eligibleSince.get(to);
    if (eligible === undefined) return null;
    const delayMs = backoffMs(FAILBACK_DELAY_MS, this.#failbacks.get(shard) ?? 0);
    if (now - eligible.at < delayMs || this.#isFailbackOnHold(shard, now)) return null;
    return { kind: 'transfer', shard, to, incarnation: eligible.incarnation };
  }

  /**
   * Assigns a shard without a live owner. Its preferred node and a restarted owner may acquire it at once. All other
   * nodes follow one after another, in the order of how many shards they own, so that they do not all try at once.
   */
  #decideFailover(shard: number, view: OwnershipView, now: number): OwnershipStep | null {
    const owner = view.owners.get(shard);
    const preferred = preferredNode(shard, view.nodes);
    const since = this.#ownerlessSince.get(shard) ?? now;
    this.#ownerlessSince.set(shard, since);
    if (preferred === view.node || owner?.owner === view.node) return { kind: 'acquire', shard };
    const shardsOwnedBy = (node: string) =>
      [...view.owners.values()].filter((other) => other.owner === node && isLive(view, other))
        .length;
    const candidates = [...view.live.keys()]
      .sort((a, b) => shardsOwnedBy(a) - shardsOwnedBy(b) || (a < b ? -1 : 1))
      .filter((node) => node !== preferred);
    const position = Math.max(0, candidates.indexOf(view.node));
    const gracePeriods = (view.live.has(preferred) || owner === undefined ? 1 : 0) + position;
    return now - since >= gracePeriods * FAILOVER_GRACE_MS ? { kind: 'acquire', shard } : null;
  }

  /**
   * Records when this node receives a shard from its live preferred node, which transfers it only while it receives
   * no heartbeats. If the shard failed back at once, that node would own it under a new term, still receive no
   * heartbeats, and return every machine as lost (docs/incidents/2026-12-02-handed-back.md).
   */
  #observeTransfer(shard: number, view: OwnershipView, now: number): void {
    const previous = this.#lastOwners.get(shard);
    const owner = view.owners.get(shard);
    if (owner === undefined) return;
    this.#lastOwners.set(shard, owner);
    if (previous === undefined || previous.owner === owner.owner || owner.owner !== view.node)
      return;
    if (previous.owner !== preferredNode(shard, view.nodes) || !isLive(view, previous)) return;
    const count = (this.#receivedTransfers.get(shard)?.count ?? 0) + 1;
    this.#receivedTransfers.set(shard, { at: now, count });
  }

  #isFailbackOnHold(shard: number, now: number): boolean {
    const received = this.#receivedTransfers.get(shard);
    if (received === undefined) return false;
    return now - received.at < backoffMs(FAILBACK_HOLD_MS, received.count - 1);
  }
}
