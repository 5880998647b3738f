/** Who should own which shard: decisions over what the store shows, without input or output. */
import {
  FAILBACK_HOLD_MS,
  MAX_FAILBACK_DELAY_MS,
  FAILBACK_DELAY_MS,
  FAILOVER_GRACE_MS,
} from './constants.js';

/** One life of a node that owns a shard. */
export interface Owner {
  readonly owner: string;
  readonly incarnation: string;
}

/** Nodes and shards as the store shows them to one node. */
export interface OwnershipView {
  /** the node that decides, and its life */
  readonly node: string;
  readonly incarnation: string;
  /** all nodes of the settings, in order of name */
  readonly nodes: readonly string[];
  /** incarnations with a valid lease; a node restarted quickly has two for a while */
  readonly live: ReadonlyMap<string, ReadonlySet<string>>;
  readonly owners: ReadonlyMap<number, Owner>;
  readonly shardCount: number;
}

/** What the deciding node should do about a shard. */
export type OwnershipStep =
  | { readonly kind: 'acquire'; readonly shard: number }
  | {
      readonly kind: 'transfer';
      readonly shard: number;
      readonly to: string;
      readonly incarnation: string;
    };

/** Since when a node has been fit to get a shard back. */
interface EligibleSince {
  readonly incarnation: string;
  /** steady ms */
  readonly at: number;
}

/** Transfers of one shard from its live preferred node to this one. */
interface ReceivedTransfers {
  /** when the last one was seen, steady ms */
  readonly at: number;
  readonly count: number;
}

/** The node that owns a shard while all nodes are live. */
export const preferredNode = (shard: number, nodes: readonly string[]): string =>
  nodes[shard % nodes.length]!;

const isLive = (view: OwnershipView, { owner, incarnation }: Owner): boolean =>
  view.live.get(owner)?.has(incarnation) ?? false;

/** Delay that doubles with each repetition, up to `MAX_FAILBACK_MS`. */
const backoffMs = (firstMs: number, repetitions: number): number =>
  Math.min(MAX_FAILBACK_DELAY_MS, firstMs * 2 ** repetitions);

/** Decides on failover and failback; remembers since when shards had no live owner and nodes were fit. */
export class OwnershipPolicy {
  readonly #ownerlessSince = new Map<number, number>();
  readonly #eligibleSince = new Map<string, EligibleSince>();
  /** how often each shard failed back from this node */
  readonly #failbacks = new Map<number, number>();
  /** the owner of each shard at the last decision */
  readonly #lastOwners = new Map<number, Owner>();
  readonly #receivedTransfers = new Map<number, ReceivedTransfers>();

  /**
   * The steps that are due. `fitIncarnation` tells the incarnation of a node that could get a shard, which is
   * reachable and in contact with the store; else null.
   */
  decide(
    view: OwnershipView,
    now: number,
    fitIncarnation: (node: string) => string | null,
  ): OwnershipStep[] {
    this.#observeEligibleNodes(view, now, fitIncarnation);
    const steps: OwnershipStep[] = [];
    for (let shard = 0; shard < view.shardCount; shard++) {
      const step = this.#decideShard(shard, view, now);
      if (step !== null) steps.push(step);
    }
    return steps;
  }

  /** Each failback of a shard doubles the delay before its next one. */
  recordFailback(shard: number): void {
    this.#failbacks.set(shard, (this.#failbacks.get(shard) ?? 0) + 1);
  }

  #observeEligibleNodes(
    view: OwnershipView,
    now: number,
    fitIncarnation: (node: string) => string | null,
  ): void {
    for (const node of view.nodes) {
      const incarnation = fitIncarnation(node);
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
    // An older life of this node holds it: that process has ended.
    return owner.incarnation === view.incarnation ? null : { kind: 'acquire', shard };
  }

  /** A shard that this node holds for another one returns once that one has been fit for long enough. */
  #decideFailback(shard: number, view: OwnershipView, now: number): OwnershipStep | null {
    const to = preferredNode(shard, view.nodes);
    const fit = this.#eligibleSince.get(to);
    if (fit === undefined) return null;
    const delayMs = backoffMs(FAILBACK_DELAY_MS, this.#failbacks.get(shard) ?? 0);
    if (now - fit.at < delayMs || this.#isFailbackOnHold(shard, now)) return null;
    return { kind: 'transfer', shard, to, incarnation: fit.incarnation };
  }

  /**
   * A shard without a live owner goes to its preferred node first, and to a restarted owner at once; then to the
   * others one after another, those with fewer shards earlier, so that not all of them try in the same moment.
   */
  #decideFailover(shard: number, view: OwnershipView, now: number): OwnershipStep | null {
    const owner = view.owners.get(shard);
    const preferred = preferredNode(shard, view.nodes);
    const since = this.#ownerlessSince.get(shard) ?? now;
    this.#ownerlessSince.set(shard, since);
    if (preferred === view.node || owner?.owner === view.node) return { kind: 'acquire', shard };
    const load = (node: string) =>
      [...view.owners.values()].filter((other) => other.owner === node && isLive(view, other))
        .length;
    const candidates = [...view.live.keys()]
      .sort((a, b) => load(a) - load(b) || (a < b ? -1 : 1))
      .filter((node) => node !== preferred);
    const position = Math.max(0, candidates.indexOf(view.node));
    const graces = (view.live.has(preferred) || owner === undefined ? 1 : 0) + position;
    return now - since >= graces * FAILOVER_GRACE_MS ? { kind: 'acquire', shard } : null;
  }

  /**
   * A live node transfers its shard away only while it receives no heartbeats. With its shard back at once, it
   * would own it under a new term, still receive none, and return every machine as lost
   * (docs/incidents/2026-12-02-handed-back.md).
   */
  #observeTransfer(shard: number, view: OwnershipView, now: number): void {
    const before = this.#lastOwners.get(shard);
    const owner = view.owners.get(shard);
    if (owner === undefined) return;
    this.#lastOwners.set(shard, owner);
    if (before === undefined || before.owner === owner.owner || owner.owner !== view.node) return;
    if (before.owner !== preferredNode(shard, view.nodes) || !isLive(view, before)) return;
    const count = (this.#receivedTransfers.get(shard)?.count ?? 0) + 1;
    this.#receivedTransfers.set(shard, { at: now, count });
  }

  #isFailbackOnHold(shard: number, now: number): boolean {
    const received = this.#receivedTransfers.get(shard);
    if (received === undefined) return false;
    return now - received.at < backoffMs(FAILBACK_HOLD_MS, received.count - 1);
  }
}
