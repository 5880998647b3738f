import {
  expiredRevision,
  fencedCompareAndSwap,
  EMPTY_RETENTION,
  observeElapsed,
  type Authorization,
  type Guard,
  type RetentionRecord,
  type Write,
} from '@sumacstep/leader-election';
import { isTerminal, moveKey } from '@sumacstep/shard-rebalancing';
import type { Logger } from 'pino';
import { setTimeout as sleep } from 'node:timers/promises';
import type { SingletonsConfig } from '../config/singletons.js';
import { CLOCK_DRIFT } from '../constants.js';
import { GARBAGE_COLLECTION_INTERVAL_MS, RETENTION_WRITE_INTERVAL_MS } from './constants.js';
import { LIST_PAGE_SIZE } from '../store/constants.js';
import { CALL_PRIORITY } from '../store/call-priority.js';
import { StoreRequestError } from '../store/errors.js';
import type { Entry } from '../store/types.js';
import type { StoreClient } from '../store/store-client.js';
import { encodeAcceptanceMarker } from '../store/codecs/election-entry.js';
import { electionEntryKey, FINAL_STATE_PREFIX, key } from '../store/keys.js';
import type { WatchCache } from '../store/watch-cache.js';
import { GARBAGE_COLLECTOR_ROLE, type SingletonElection } from './singleton-election.js';

/** What clearing needs of the process. */
export interface GarbageCollectorDependencies {
  readonly duties: Pick<SingletonElection, 'authorize'>;
  readonly client: Pick<StoreClient, 'compareAndSwap' | 'list' | 'get'>;
  readonly cache: WatchCache;
  /** the key of this node's own life, which a lease holds for sure */
  readonly ownNodeKey: string;
  /** number of shards */
  readonly shards: number;
  /** puts and deletes of a transaction */
  readonly transactionOps: number;
  /** steady ms */
  readonly now: () => number;
  readonly log: Logger;
}

/** share of the retention time after which there is something new to clear */
const ROUNDS_SHARE = 1 / 16;

/** An entry whose absence nobody needs to notice at once. */
type Clearable = Pick<Entry, 'key' | 'revision'>;

/**
 * The duty of clearing old state: final states and ended moves that are older than their retention time, rentals of shards that
 * do not exist any more, and node records that no lease holds.
 *
 * How old a final state is follows from its revision: the holder notes which revisions were reached how much
 * observed time ago. Each transaction that clears final states also changes the acceptance key, which every
 * acceptance names as a condition. So an acceptance from before fails, however late it is carried out.
 */
export class GarbageCollector {
  #busy = false;
  #lastRound = -Infinity;
  /** the tenure whose time is observed, and up to when (steady ms) */
  #observed: { token: number; at: number } | null = null;
  /** final states up to this revision were looked through */
  #sweptTo = -1;

  constructor(
    private readonly config: Pick<
      SingletonsConfig,
      'finalStateRetentionMs' | 'garbageCollectionWritesPerS'
    >,
    private readonly ports: GarbageCollectorDependencies,
  ) {}

  /** Runs a round if one is due and this node holds the duty. */
  tick(): void {
    const now = this.ports.now();
    const authorization = this.ports.duties.authorize(GARBAGE_COLLECTOR_ROLE);
    if (
      authorization === null ||
      this.#busy ||
      now - this.#lastRound < this.#every(GARBAGE_COLLECTION_INTERVAL_MS)
    ) {
      return;
    }
    this.#lastRound = now;
    void this.#guarded(() => this.round(authorization));
  }

  /** ms; what is kept for a short time only is looked after more often. */
  #every(usualMs: number): number {
    return Math.min(usualMs, this.config.finalStateRetentionMs * ROUNDS_SHARE);
  }

  async #guarded(work: () => Promise<void>): Promise<void> {
    this.#busy = true;
    try {
      await work();
    } catch (error) {
      if (!(error instanceof StoreRequestError)) throw error;
      this.ports.log.debug({ error: error.message }, 'old state not cleared');
    } finally {
      this.#busy = false;
    }
  }

  /** Notes the time that has passed, and clears what is due. */
  async round(authorization: Authorization): Promise<void> {
    const retention = await this.#observeTime(authorization);
    if (retention === null) return;
    const expired = expiredRevision(retention, this.config.finalStateRetentionMs);
    if (expired !== null && expired > this.#sweptTo) {
      const cleared = await this.#clearFinals(authorization, expired);
      if (!authorization.isValid()) return;
      await this.#clearMoves(authorization, expired);
      this.#sweptTo = expired;
      if (cleared > 0) this.ports.log.info({ cleared, expired }, 'final states cleared');
    }
    await this.#clearRentals(authorization);
    await this.#clearNodes(authorization);
  }

  // --- time --------------------------------------------------------------------------------------

  /** Writes the observed time now and then; null while that is not due, or if the tenure is over. */
  async #observeTime(authorization: Authorization): Promise<RetentionRecord | null> {
    const now = this.ports.now();
    const { fencingToken: token } = authorization;
    if (this.#observed?.token !== token) {
      this.#observed = { token, at: now };
      this.#sweptTo = -1;
    }
    const passedMs = now - this.#observed.at;
    const stored = this.ports.cache.tables.elections.get('retention');
    const old = stored?.value.kind === 'retention' ? stored.value.retention : EMPTY_RETENTION;
    if (stored !== undefined && passedMs < this.#every(RETENTION_WRITE_INTERVAL_MS)) return null;
    const options = { keepMs: this.config.finalStateRetentionMs, clockDrift: CLOCK_DRIFT };
    const value = observeElapsed(old, passedMs, this.ports.cache.revision, options);
    const writes = [{ put: electionEntryKey.retention, value }];
    const guards = [{ key: electionEntryKey.retention, revision: stored?.revision ?? 0 }];
    if (!(await this.#compareAndSwap(authorization, guards, writes))) return null;
    this.#observed = { token, at: now };
    return value;
  }

  async #compareAndSwap(
    authorization: Authorization,
    guards: readonly Guard[],
    writes: readonly Write[],
  ): Promise<boolean> {
    const { client, cache } = this.ports;
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

  // --- what is cleared ---------------------------------------------------------------------------

  /** Returns how many final states went. */
  async #clearFinals(authorization: Authorization, expired: number): Promise<number> {
    // One write of each transaction goes to the acceptance key.
    const most = Math.max(1, this.ports.transactionOps - 1);
    let cleared = 0;
    for (let since: string | null = null; ;) {
      const page = await this.ports.client.list(
        FINAL_STATE_PREFIX,
        since,
        LIST_PAGE_SIZE,
        CALL_PRIORITY.background,
      );
      const old = page.entries.filter((entry) => entry.revision <= expired);
      for (let at = 0; at < old.length; at += most) {
        if (!authorization.isValid()) return cleared;
        const batch = old.slice(at, at + most);
        if (await this.#dropFinals(authorization, batch)) cleared += batch.length;
        await sleep(((batch.length + 1) * 1000) / this.config.garbageCollectionWritesPerS);
      }
      const last = page.entries.at(-1);
      if (!page.more || last === undefined) return cleared;
      since = last.key;
    }
  }

  #dropFinals(authorization: Authorization, batch: readonly Clearable[]): Promise<boolean> {
    const guards = batch.map(({ key: name, revision }) => ({ key: name, revision }));
    const drops: Write[] = batch.map(({ key: name }) => ({ drop: name }));
    const acceptance = {
      put: electionEntryKey.acceptance,
      value: encodeAcceptanceMarker(authorization.fencingToken),
    };
    return this.#compareAndSwap(authorization, guards, [...drops, acceptance]);
  }

  /** Moves of machines that were over before: they are kept for people alone. */
  async #clearMoves(authorization: Authorization, expired: number): Promise<void> {
    for (const { value: entry, revision } of this.ports.cache.tables.moves.values()) {
      if (entry.kind !== 'move' || !isTerminal(entry.move) || revision > expired) continue;
      if (!(await this.#drop(authorization, { key: moveKey(entry.move.id), revision }))) return;
    }
  }

  /** Rentals of shards that no setting names and nobody owns. Machines that they got are reclaimed. */
  async #clearRentals(authorization: Authorization): Promise<void> {
    const { tables } = this.ports.cache;
    for (const { value: rental, revision } of tables.rentals.values()) {
      if (rental.shard < this.ports.shards || this.#ownerLives(rental.shard)) continue;
      const name = key.rental(rental.shard, rental.name);
      if (!(await this.#drop(authorization, { key: name, revision }))) return;
      this.ports.log.info({ shard: rental.shard, hire: rental.name }, 'rental of no shard cleared');
    }
  }

  #ownerLives(shard: number): boolean {
    const { tables } = this.ports.cache;
    const owner = tables.shards.get(String(shard))?.value;
    return owner !== undefined && tables.nodes.has(`${owner.owner}/${owner.incarnation}`);
  }

  /**
   * Records of nodes that no lease holds, and that would keep their shards from everybody. Only if the state service
   * tells leases at all: our own record is held by one for sure.
   */
  async #clearNodes(authorization: Authorization): Promise<void> {
    const { client, cache, ownNodeKey, log } = this.ports;
    const own = await client.get(ownNodeKey, CALL_PRIORITY.background);
    if ('missing' in own || (own.lease ?? null) === null) return;
    for (const { value } of cache.tables.nodes.values()) {
      const name = key.node(value.node, value.incarnation);
      if (name === ownNodeKey) continue;
      const found = await client.get(name, CALL_PRIORITY.background);
      if ('missing' in found || (found.lease ?? null) !== null) continue;
      if (!(await this.#drop(authorization, found))) return;
      log.info({ node: value.node, incarnation: value.incarnation }, 'node record cleared');
    }
  }

  #drop(authorization: Authorization, { key: name, revision }: Clearable): Promise<boolean> {
    return this.#compareAndSwap(authorization, [{ key: name, revision }], [{ drop: name }]);
  }
}
