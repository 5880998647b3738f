/**
 * Garbage collection of stored state: final states of jobs and ended moves that are older than their retention time,
 * rentals of shards that do not exist any more, and node records without a lease.
 */
import {
  expiredRevision,
  fencedCompareAndSwap,
  type Authorization,
  type Guard,
  type Write,
} from '@sumacstep/leader-election';
import { isTerminal, moveKey } from '@sumacstep/shard-rebalancing';
import type { Logger } from 'pino';
import { setTimeout as sleep } from 'node:timers/promises';
import type { SingletonsConfig } from '../config/singletons.js';
import { LIST_PAGE_SIZE } from '../store/constants.js';
import { electionEntryKey } from '../store/keys.js';
import { FINAL_STATE_PREFIX, storeKey } from '../store/keys.js';
import { CALL_PRIORITY } from '../store/call-priority.js';
import { StoreRequestError } from '../store/errors.js';
import { type Entry } from '../store/types.js';
import { type StoreClient } from '../store/store-client.js';
import type { WatchCache } from '../store/watch-cache.js';
import { GARBAGE_COLLECTION_INTERVAL_MS, RETENTION_INTERVAL_SHARE } from './constants.js';
import { RetentionClock } from './retention-clock.js';
import { GARBAGE_COLLECTOR_ROLE } from './roles.js';
import type { SingletonElection } from './singleton-election.js';

/** What garbage collection needs of the process. */
export interface GarbageCollectorDependencies {
  readonly election: Pick<SingletonElection, 'authorize'>;
  readonly client: Pick<StoreClient, 'compareAndSwap' | 'list' | 'get'>;
  readonly cache: WatchCache;
  /** the key of this node's own incarnation, which is attached to a lease for sure */
  readonly ownNodeKey: string;
  /** number of shards */
  readonly shards: number;
  /** puts and deletes of a transaction */
  readonly transactionOps: number;
  /** the steady clock, ms */
  readonly now: () => number;
  readonly log: Logger;
}

/** A key and the revision at which it may be deleted. */
type Garbage = Pick<Entry, 'key' | 'revision'>;

/**
 * The singleton controller that deletes old state.
 *
 * The age of a final state follows from its revision: the retention clock records which revisions were reached how
 * much observed time ago. Each transaction that deletes final states also changes the acceptance key, which guards
 * every acceptance of a job. So an acceptance from before fails, however late it is carried out.
 */
export class GarbageCollector {
  readonly #retentionClock: RetentionClock;
  #roundInProgress = false;
  #lastRoundAt = -Infinity;
  /** the leadership that has collected final states up to a revision */
  #lastSweep: { readonly fencingToken: number; readonly revision: number } | null = null;

  constructor(
    private readonly config: Pick<
      SingletonsConfig,
      'finalStateRetentionMs' | 'garbageCollectionWritesPerS'
    >,
    private readonly dependencies: GarbageCollectorDependencies,
  ) {
    this.#retentionClock = new RetentionClock(config.finalStateRetentionMs, dependencies);
  }

  /** Starts a round if one is due and this node is the leader. */
  tick(): void {
    const now = this.dependencies.now();
    const authorization = this.dependencies.election.authorize(GARBAGE_COLLECTOR_ROLE);
    if (
      authorization === null ||
      this.#roundInProgress ||
      now - this.#lastRoundAt < this.#intervalMs()
    ) {
      return;
    }
    this.#lastRoundAt = now;
    void this.#runRound(authorization);
  }

  /** Shorter than usual if the retention time is short. */
  #intervalMs(): number {
    const { finalStateRetentionMs } = this.config;
    return Math.min(
      GARBAGE_COLLECTION_INTERVAL_MS,
      finalStateRetentionMs * RETENTION_INTERVAL_SHARE,
    );
  }

  async #runRound(authorization: Authorization): Promise<void> {
    this.#roundInProgress = true;
    try {
      await this.collect(authorization);
    } catch (error) {
      if (!(error instanceof StoreRequestError)) throw error;
      this.dependencies.log.debug({ error: error.message }, 'garbage not collected');
    } finally {
      this.#roundInProgress = false;
    }
  }

  /** Advances the retention clock, and deletes what has expired. Rejects with `StoreRequestError`. */
  async collect(authorization: Authorization): Promise<void> {
    const retention = await this.#retentionClock.advance(authorization);
    if (retention === null) return;
    const expired = expiredRevision(retention, this.config.finalStateRetentionMs);
    if (expired !== null && expired > this.#lastSweptRevision(authorization)) {
      const finalStates = await this.#collectFinalStates(authorization, expired);
      if (!authorization.isValid()) return;
      await this.#collectMoves(authorization, expired);
      this.#lastSweep = { fencingToken: authorization.fencingToken, revision: expired };
      if (finalStates > 0) {
        const fields = { finalStates, expiredRevision: expired };
        this.dependencies.log.info(fields, 'final states deleted');
      }
    }
    await this.#collectRentals(authorization);
    await this.#collectNodes(authorization);
  }

  #lastSweptRevision({ fencingToken }: Authorization): number {
    return this.#lastSweep?.fencingToken === fencingToken ? this.#lastSweep.revision : -1;
  }

  /** Resolves with the number of final states that were deleted. */
  async #collectFinalStates(authorization: Authorization, expired: number): Promise<number> {
    // One write of each transaction goes to the acceptance key.
    const batchLimit = Math.max(1, this.dependencies.transactionOps - 1);
    let deleted = 0;
    for (let since: string | null = null; ;) {
      const page = await this.dependencies.client.list(
        FINAL_STATE_PREFIX,
        since,
        LIST_PAGE_SIZE,
        CALL_PRIORITY.background,
      );
      const old = page.entries.filter((entry) => entry.revision <= expired);
      for (let start = 0; start < old.length; start += batchLimit) {
        if (!authorization.isValid()) return deleted;
        const batch = old.slice(start, start + batchLimit);
        if (await this.#deleteFinalStates(authorization, batch)) deleted += batch.length;
        await sleep(((batch.length + 1) * 1000) / this.config.garbageCollectionWritesPerS);
      }
      const last = page.entries.at(-1);
      if (!page.more || last === undefined) return deleted;
      since = last.key;
    }
  }

  #deleteFinalStates(authorization: Authorization, batch: readonly Garbage[]): Promise<boolean> {
    const guards = batch.map(({ key: name, revision }) => ({ key: name, revision }));
    const drops: Write[] = batch.map(({ key: name }) => ({ drop: name }));
    const value = { token: authorization.fencingToken };
    const acceptance = { put: electionEntryKey.acceptance, value };
    return this.#compareAndSwap(authorization, guards, [...drops, acceptance]);
  }

  /** Moves of machines that have ended: they are kept for people alone. */
  async #collectMoves(authorization: Authorization, expired: number): Promise<void> {
    for (const { value: entry, revision } of this.dependencies.cache.tables.moves.values()) {
      if (entry.kind !== 'move' || !isTerminal(entry.move) || revision > expired) continue;
      if (!(await this.#delete(authorization, { key: moveKey(entry.move.id), revision }))) return;
    }
  }

  /** Rentals of shards that are not configured and have no live owner. Orphan collection returns their machines. */
  async #collectRentals(authorization: Authorization): Promise<void> {
    const { cache, shards, log } = this.dependencies;
    for (const { value: rental, revision } of cache.tables.rentals.values()) {
      if (rental.shard < shards || this.#hasLiveOwner(rental.shard)) continue;
      const name = storeKey.rental(rental.shard, rental.name);
      if (!(await this.#delete(authorization, { key: name, revision }))) return;
      log.info({ shard: rental.shard, rental: rental.name }, 'rental of removed shard deleted');
    }
  }

  #hasLiveOwner(shard: number): boolean {
    const { tables } = this.dependencies.cache;
    const owner = tables.shards.get(String(shard))?.value;
    return owner !== undefined && tables.nodes.has(`${owner.owner}/${owner.incarnation}`);
  }

  /**
   * Records of nodes that are attached to no lease, and that would block the takeover of their shards. Only if the
   * store reports leases at all: the own record is attached to one for sure.
   */
  async #collectNodes(authorization: Authorization): Promise<void> {
    const { client, cache, ownNodeKey, log } = this.dependencies;
    const own = await client.get(ownNodeKey, CALL_PRIORITY.background);
    if ('missing' in own || (own.lease ?? null) === null) return;
    for (const { value } of cache.tables.nodes.values()) {
      const name = storeKey.node(value.node, value.incarnation);
      if (name === ownNodeKey) continue;
      const found = await client.get(name, CALL_PRIORITY.background);
      if ('missing' in found || (found.lease ?? null) !== null) continue;
      if (!(await this.#delete(authorization, found))) return;
      log.info({ node: value.node, incarnation: value.incarnation }, 'node record deleted');
    }
  }

  #delete(authorization: Authorization, { key: name, revision }: Garbage): Promise<boolean> {
    return this.#compareAndSwap(authorization, [{ key: name, revision }], [{ drop: name }]);
  }

  async #compareAndSwap(
    authorization: Authorization,
    guards: readonly Guard[],
    writes: readonly Write[],
  ): Promise<boolean> {
    const { client, cache } = this.dependencies;
    const outcome = await fencedCompareAndSwap(
      client,
      authorization,
      CALL_PRIORITY.background,
      guards,
      writes,
    );
    if (outcome.ok) cache.applyOwn(writes, outcome.epoch);
    return outcome.ok;
  }
}
