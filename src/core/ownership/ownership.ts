import { FAILBACK_HOLD_MS, MAX_FAILBACK_MS, FAILBACK_MS, FAILOVER_GRACE_MS } from './constants.js';

/** Who should own which shard: pure decisions over what the state service shows. */

/** One life of a node that owns a shard. */
export interface Owner {
  readonly owner: string;
  readonly incarnation: string;
}

export interface OwnershipView {
  readonly me: string;
  readonly incarnation: string;
  /** all nodes of the settings, in order of name */
  readonly nodes: readonly string[];
  /** incarnations with a living lease; a node restarted quickly has two for a while */
  readonly alive: ReadonlyMap<string, ReadonlySet<string>>;
  readonly shards: ReadonlyMap<number, Owner>;
  readonly count: number;
}

export type OwnershipStep =
  | { readonly kind: 'take'; readonly shard: number }
  | {
      readonly kind: 'give';
      readonly shard: number;
      readonly to: string;
      readonly incarnation: string;
    };

/** The node that a shard belongs to while all nodes live. */
export const preferred = (shard: number, nodes: readonly string[]): string =>
  nodes[shard % nodes.length]!;

const lives = (view: OwnershipView, p: Owner): boolean =>
  view.alive.get(p.owner)?.has(p.incarnation) ?? false;

/** Remembers since when shards had no owner and nodes live; decides what to take and to give. */
export class Ownership {
  readonly #orphanSince = new Map<number, number>();
  readonly #fitSince = new Map<string, { incarnation: string; at: number }>();
  readonly #handovers = new Map<number, number>();
  /** the owner of each shard at the last look */
  readonly #lastOwner = new Map<number, Owner>();
  /** shards that their living nodes gave to this one: when last, and how often */
  readonly #givenToUs = new Map<number, { at: number; times: number }>();

  /** `fit` gives the incarnation of a node that could get a shard: reachable and with state. */
  steps(view: OwnershipView, now: number, fit: (node: string) => string | null): OwnershipStep[] {
    for (const node of view.nodes) {
      const incarnation = fit(node);
      if (incarnation === null || !view.alive.get(node)?.has(incarnation)) {
        this.#fitSince.delete(node);
      } else if (this.#fitSince.get(node)?.incarnation !== incarnation) {
        this.#fitSince.set(node, { incarnation, at: now });
      }
    }
    const out: OwnershipStep[] = [];
    for (let shard = 0; shard < view.count; shard++) {
      const step = this.#step(shard, view, now);
      if (step !== null) out.push(step);
    }
    return out;
  }

  #step(shard: number, view: OwnershipView, now: number): OwnershipStep | null {
    const owner = view.shards.get(shard);
    const home = preferred(shard, view.nodes);
    this.#noteGiven(shard, view, home, now);
    if (owner !== undefined && lives(view, owner)) {
      this.#orphanSince.delete(shard);
      if (owner.owner !== view.me || home === view.me) {
        // An older life of this node holds it: that process has ended.
        const former = owner.owner === view.me && owner.incarnation !== view.incarnation;
        return former ? { kind: 'take', shard } : null;
      }
      const since = this.#fitSince.get(home);
      const hold = Math.min(MAX_FAILBACK_MS, FAILBACK_MS * 2 ** (this.#handovers.get(shard) ?? 0));
      if (since === undefined || now - since.at < hold || this.#mustKeep(shard, now)) return null;
      return { kind: 'give', shard, to: home, incarnation: since.incarnation };
    }
    const since = this.#orphanSince.get(shard) ?? now;
    this.#orphanSince.set(shard, since);
    // Its own node first, and a restarted owner at once; then the others one after another, those
    // with fewer shards earlier, so that not all of them try in the same moment.
    if (home === view.me || owner?.owner === view.me) return { kind: 'take', shard };
    const load = (n: string) =>
      [...view.shards.values()].filter((p) => p.owner === n && lives(view, p)).length;
    const order = [...view.alive.keys()].sort((a, b) => load(a) - load(b) || (a < b ? -1 : 1));
    const position = Math.max(0, order.filter((n) => n !== home).indexOf(view.me));
    const wait = (view.alive.has(home) || owner === undefined ? 1 : 0) + position;
    return now - since >= wait * FAILOVER_GRACE_MS ? { kind: 'take', shard } : null;
  }

  /**
   * A node that lives gives its shard away only while it hears no workers. Given back at once, it would have
   * the shard again under a new term, hear nobody, and return every machine as silent
   * (docs/incidents/2026-12-02-handed-back.md).
   */
  #noteGiven(shard: number, view: OwnershipView, home: string, now: number): void {
    const before = this.#lastOwner.get(shard);
    const owner = view.shards.get(shard);
    if (owner === undefined) return;
    this.#lastOwner.set(shard, owner);
    const changed = before?.owner !== owner.owner;
    if (!changed || before?.owner !== home || owner.owner !== view.me) return;
    if (!lives(view, before)) return;
    const times = (this.#givenToUs.get(shard)?.times ?? 0) + 1;
    this.#givenToUs.set(shard, { at: now, times });
  }

  #mustKeep(shard: number, now: number): boolean {
    const given = this.#givenToUs.get(shard);
    if (given === undefined) return false;
    return now - given.at < Math.min(MAX_FAILBACK_MS, FAILBACK_HOLD_MS * 2 ** (given.times - 1));
  }

  /** Each handover doubles the time until the next one of that shard. */
  handedOver(shard: number): void {
    this.#handovers.set(shard, (this.#handovers.get(shard) ?? 0) + 1);
  }
}
