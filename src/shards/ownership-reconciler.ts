/**
 * Reconciliation of shard ownership: acquires shards without a live owner, lets shards fail back to their preferred
 * nodes, and transfers shards whose workers can reach only a peer. Every change is a compare-and-swap on the owner
 * record and the term counter, so only one of several nodes that try at the same time succeeds.
 */
import { encodeTerm } from '../store/codecs/term.js';
import { encodeShard } from '../store/codecs/shard.js';
import type { Logger } from 'pino';
import type { PlatformConfig } from '../config/platform.js';
import { FAILBACK_DELAY_MS, TOKENS_PER_TERM } from '../core/ownership/constants.js';
import {
  OwnershipPolicy,
  type OwnershipStep,
  type OwnershipView,
} from '../core/ownership/ownership-policy.js';
import { CALL_PRIORITY } from '../store/call-priority.js';
import { StoreRequestError } from '../store/errors.js';
import { type StoreClient } from '../store/store-client.js';
import { storeKey } from '../store/keys.js';
import { lastToken, type ShardRecord } from '../store/codecs/shard.js';
import type { WatchCache } from '../store/watch-cache.js';
import type { Guard, Write } from '@sumacstep/leader-election';
import { HEARTBEAT_LOSS_INTERVALS, HEARTBEAT_LOSS_MS, TRANSFER_SETTLE_MS } from './constants.js';
import { liveIncarnations } from './live-nodes.js';
import type { OwnedShard } from './owned-shard.js';
import type { PeerView } from './peer-view.js';

/** The store client, cache, peers and clock that `OwnershipReconciler` uses. */
export interface OwnershipReconcilerDependencies {
  readonly config: PlatformConfig;
  readonly incarnation: string;
  readonly client: Pick<StoreClient, 'compareAndSwap'>;
  readonly cache: WatchCache;
  readonly owned: ReadonlyMap<number, OwnedShard>;
  readonly peers: Pick<PeerView, 'incarnationWithStore' | 'peerReceivingHeartbeats'>;
  /** monotonic ms */
  readonly now: () => number;
  readonly log: Logger;
}

/** A transfer that has been sent and whose outcome is unknown. */
interface PendingTransfer {
  readonly owned: OwnedShard;
  /** monotonic ms */
  readonly sentAt: number;
}

/** The node and its incarnation to which a shard is transferred. */
interface NewOwner {
  readonly node: string;
  readonly incarnation: string;
}

/** Writes that are carried out only if all guards hold. */
interface Transaction {
  readonly guards: readonly Guard[];
  readonly writes: readonly Write[];
}

/** Carries out the decisions of `OwnershipPolicy`, with at most one transaction per shard in flight. */
export class OwnershipReconciler {
  readonly #policy = new OwnershipPolicy();
  readonly #pendingTransfers = new Map<number, PendingTransfer>();
  /** shards with a transaction in flight */
  readonly #inFlight = new Set<number>();
  /** monotonic ms; until this time, the policy's decisions to acquire apply only to shards that never had an owner */
  #acquisitionsSuspendedUntil = -Infinity;

  constructor(private readonly dependencies: OwnershipReconcilerDependencies) {}

  /** Runs one round over all shards. The caller must have authority. */
  reconcile(now: number): void {
    this.#dropPendingOfLostShards();
    const view = this.#observe();
    const { peers, owned } = this.dependencies;
    const steps = this.#policy.decide(view, now, (node) => peers.incarnationWithStore(node));
    for (const step of steps) this.#execute(step, view, now);
    this.#settleTransfers(now);
    for (const [index, shard] of owned) {
      if (shard.isActive) this.#transferIfWorkersUnreachable(index, shard, now);
    }
  }

  /** Makes this node the owner of the shard under a new term, also if it owns the shard already. */
  acquire(index: number): Promise<void> {
    return this.#exclusively(index, async () => {
      const { config, incarnation, client, cache, log } = this.dependencies;
      const { guards, writes } = this.#ownerChange(index, config.node, incarnation);
      const result = await client.compareAndSwap(CALL_PRIORITY.renew, guards, writes);
      if (!result.ok) return;
      this.#pendingTransfers.delete(index);
      cache.applyOwnWrites(writes, result.epoch);
      log.info({ shard: index }, 'shard acquired');
    });
  }

  #transfer(index: number, { node, incarnation }: NewOwner): Promise<void> {
    return this.#exclusively(index, async () => {
      const { client, cache, now, log } = this.dependencies;
      const owned = this.dependencies.owned.get(index);
      if (owned === undefined || !owned.isActive) return;
      const { guards, writes } = this.#ownerChange(index, node, incarnation);
      const registration = {
        key: storeKey.node(node, incarnation),
        revision: cache.tables.nodes.get(`${node}/${incarnation}`)?.revision ?? 0,
      };
      // From here on this node does not act for the shard, unless the transaction is known to have failed.
      owned.suspend();
      this.#pendingTransfers.set(index, { owned, sentAt: now() });
      const allGuards = [...guards, registration];
      const result = await client.compareAndSwap(CALL_PRIORITY.renew, allGuards, writes);
      this.#pendingTransfers.delete(index);
      if (!result.ok) {
        owned.resume();
        return;
      }
      this.#policy.recordFailback(index);
      cache.applyOwnWrites(writes, result.epoch);
      log.info({ shard: index, to: node }, 'shard transferred');
    });
  }

  #dropPendingOfLostShards(): void {
    for (const [index, { owned }] of this.#pendingTransfers) {
      if (this.dependencies.owned.get(index) !== owned) this.#pendingTransfers.delete(index);
    }
  }

  #observe(): OwnershipView {
    const { config, incarnation, cache } = this.dependencies;
    const owners = new Map<number, ShardRecord>();
    for (const [id, { value }] of cache.tables.shards) owners.set(Number(id), value);
    return {
      node: config.node,
      incarnation,
      nodes: [config.node, ...config.peers.map((peer) => peer.node)].sort(),
      live: liveIncarnations(cache),
      owners,
      shardCount: config.nodes,
    };
  }

  #execute(step: OwnershipStep, { owners }: OwnershipView, now: number): void {
    if (step.kind === 'transfer') {
      if (this.#pendingTransfers.has(step.shard)) return;
      void this.#transfer(step.shard, { node: step.to, incarnation: step.incarnation });
    } else if (now >= this.#acquisitionsSuspendedUntil || !owners.has(step.shard)) {
      void this.acquire(step.shard);
    }
  }

  /**
   * Settles transfers whose outcome is still unknown by acquiring their shards under a new term. Of the two
   * transactions only the one that is carried out first can succeed.
   */
  #settleTransfers(now: number): void {
    for (const [index, { sentAt }] of this.#pendingTransfers) {
      if (now - sentAt > TRANSFER_SETTLE_MS) void this.acquire(index);
    }
  }

  /**
   * Transfers the shard if this node receives no heartbeats of its workers, and a peer receives them. Then only the
   * connection between this node and the workers has failed.
   */
  #transferIfWorkersUnreachable(index: number, { shard }: OwnedShard, now: number): void {
    const { config, peers, log } = this.dependencies;
    const heartbeatIntervalMs = config.workers.heartbeatIntervalS * 1000;
    const heartbeatLossMs = Math.min(
      HEARTBEAT_LOSS_MS,
      heartbeatIntervalMs * HEARTBEAT_LOSS_INTERVALS,
    );
    if (!shard.allHeartbeatsLost(now, heartbeatLossMs)) return;
    const to = peers.peerReceivingHeartbeats(index);
    const incarnation = to === null ? null : peers.incarnationWithStore(to);
    if (to === null || to === config.node || incarnation === null) return;
    this.#acquisitionsSuspendedUntil = now + FAILBACK_DELAY_MS * 2;
    log.info({ shard: index, to, reason: 'workers report to peer' }, 'shard transfer started');
    void this.#transfer(index, { node: to, incarnation });
  }

  /** Runs `work` unless a transaction of the shard is in flight. Logs store errors; a later round tries again. */
  async #exclusively(index: number, work: () => Promise<void>): Promise<void> {
    if (this.#inFlight.has(index)) return;
    this.#inFlight.add(index);
    try {
      await work();
    } catch (error) {
      if (!(error instanceof StoreRequestError)) throw error;
      const { log } = this.dependencies;
      log.debug({ shard: index, error: error.message }, 'writing shard record failed');
    } finally {
      this.#inFlight.delete(index);
    }
  }

  /**
   * Returns the transaction that raises the term and names a new owner. It is guarded by the current record and, if
   * another node owns the shard, by the absence of that node's registration.
   */
  #ownerChange(index: number, owner: string, incarnation: string): Transaction {
    const { config, cache } = this.dependencies;
    const term = cache.tables.term.get('');
    const present = cache.tables.shards.get(String(index));
    const nextTerm = (term?.value ?? 0) + 1;
    const guards: Guard[] = [
      { key: storeKey.term, revision: term?.revision ?? 0 },
      { key: storeKey.shard(index), revision: present?.revision ?? 0 },
    ];
    if (present !== undefined && present.value.owner !== config.node) {
      const { value } = present;
      guards.push({ key: storeKey.node(value.owner, value.incarnation), revision: 0 });
    }
    const value: ShardRecord = { owner, incarnation, term: nextTerm, tokens: TOKENS_PER_TERM };
    const writes = [
      { put: storeKey.term, value: encodeTerm(lastToken(value)) },
      { put: storeKey.shard(index), value: encodeShard(value) },
    ];
    return { guards, writes };
  }
}
