/**
 * Garbage collection of stored state: final states of jobs and records of ended moves that are older than the retention
 * time, rentals of shards that no longer exist, and node records without a lease.
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

/** The services and settings that the process provides to garbage collection. */
export interface GarbageCollectorDependencies {
  readonly election: Pick<SingletonElection, 'authorize'>;
  readonly client: Pick<StoreClient, 'compareAndSwap' | 'list' | 'get'>;
  readonly cache: WatchCache;
  /** the key of this node's own incarnation, which is known to be attached to a lease */
  readonly ownNodeKey: string;
  /** number of configured shards */
  readonly shards: number;
  /** maximum number of writes (puts and deletes) in one transaction */
  readonly transactionOps: number;
  /** reads the monotonic clock, ms */
  readonly now: () => number;
  readonly log: Logger;
}

/** A key that may be deleted if it still has the given revision. */
type Garbage = Pick<Entry, 'key' | 'revision'>;

/**
 * The singleton controller that deletes stored state that is no longer needed.
 *
 * The age of a final state follows from its revision, because the retention clock records how long ago the store
 * reached which revision. Each transaction that deletes final states also changes the acceptance key, which guards
 * every acceptance of a job. So an acceptance that was sent before a deletion fails however late it is executed, and
 * cannot bring back a job whose final state was deleted.
 */
export class GarbageCollector {
  readonly #retentionClock: RetentionClock;
  #roundInProgress = false;
  #lastRoundAt = -Infinity;
  /** the last completed sweep: all final states up to this revision were collected under this fencing token */
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

  /** Starts a round if one is due, this node is the leader and no round is in progress. */
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

  /** Returns the ms between two rounds, which are fewer if the retention time is short. */
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
      this.dependencies.log.debug({ error: error.message }, 'garbage collection failed');
    } finally {
      this.#roundInProgress = false;
    }
  }

  /**
   * Runs one round: advances the retention clock and, if that was due, deletes everything that is no longer needed.
   * Rejects with `StoreRequestError` if the store is unavailable.
   */
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

  /** Deletes final states whose revision is at most `expired`; resolves with the number of deleted states. */
  async #collectFinalStates(authorization: Authorization, expired: number): Promise<number> {
    // One write of each transaction is reserved for the acceptance key.
    const batchLimit = Math.max(1, this.dependencies.transactionOps - 1);
    let deleted = 0;
    for (let since: string | null = null; ;) {
      const page = await this.dependencies.client.list(
        FINAL_STATE_PREFIX,
        since,
        LIST_PAGE_SIZE,
        CALL_PRIORITY.background,
      );
      const expiredEntries = page.entries.filter((entry) => entry.revision <= expired);
      for (let start = 0; start < expiredEntries.length; start += batchLimit) {
        if (!authorization.isValid()) return deleted;
        const batch = expiredEntries.slice(start, start + batchLimit);
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

  /** Deletes expired records of machine moves that have ended. Such records are kept only for operators to read. */
  async #collectMoves(authorization: Authorization, expired: number): Promise<void> {
    for (const { value: entry, revision } of this.dependencies.cache.tables.moves.values()) {
      if (entry.kind !== 'move' || !isTerminal(entry.move) || revision > expired) continue;
      if (!(await this.#delete(authorization, { key: moveKey(entry.move.id), revision }))) return;
    }
  }

  /**
   * Deletes rentals of shards that are not configured and have no live owner. Orphan collection returns the machines of
   * these rentals.
   */
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
   * Deletes node records that are not attached to a lease, which would block the takeover of the nodes' shards.
   * Does nothing unless the store reports a lease for this node's own record, which is known to be attached to one: a
   * store that does not report leases would make all records look unattached.
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
    if (outcome.ok) cache.applyOwnWrites(writes, outcome.epoch);
    return outcome.ok;
  }
}
