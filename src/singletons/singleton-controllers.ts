/**
 * The singleton controllers of a node: orphan collection, garbage collection and the coordination of machine moves.
 * Each of them runs on only one node of the cluster at a time.
 */
import type { FencingRejections, Guard } from '@sumacstep/leader-election';
import type { Logger } from 'pino';
import type { CloudClient } from '../cloud/cloud-client.js';
import type { SingletonsConfig } from '../config/singletons.js';
import type { PlatformConfig } from '../config/platform.js';
import type { RebalancingConfig } from '../config/rebalancing.js';
import { MoveCoordinator } from '../rebalancing/move-coordinator.js';
import { electionEntryKey, storeKey } from '../store/keys.js';
import type { StoreClient } from '../store/store-client.js';
import type { WatchCache } from '../store/watch-cache.js';
import { GarbageCollector } from './garbage-collector.js';
import { OrphanCollector, type OrphanCollection } from './orphan-collector.js';
import { ReturnIntents } from './return-intents.js';
import { SingletonElection } from './singleton-election.js';

/** The services that the process provides to the singleton controllers. */
export interface SingletonControllersDependencies {
  readonly client: StoreClient;
  readonly cloud: CloudClient;
  readonly cache: WatchCache;
  /** returns whether this node provably owns and leads what the cache shows as its own */
  readonly hasAuthority: () => boolean;
  /** resolves once the cache shows everything that was committed before the call */
  readonly waitUntilCurrent: () => Promise<unknown>;
  readonly fencingRejections: FencingRejections;
  /** reads the monotonic clock, ms */
  readonly now: () => number;
  /** reads the time of day, ms */
  readonly timeOfDay: () => number;
  readonly log: Logger;
}

type Platform = Pick<PlatformConfig, 'node' | 'nodes' | 'storeLimits'>;

/** Runs the enabled singleton controllers of this node and the election of their leaders. */
export class SingletonControllers {
  readonly #election: SingletonElection;
  readonly #garbageCollector: GarbageCollector;
  readonly #moveCoordinator: MoveCoordinator | null;
  readonly #cache: WatchCache;
  /** write-ahead intents of the machine returns that shards decide; null if recording them is disabled */
  readonly shardReturnIntents: ReturnIntents | null;
  /** null if orphan collection is disabled */
  readonly orphanCollection: OrphanCollection | null;

  constructor(
    platform: Platform,
    config: SingletonsConfig,
    rebalancing: RebalancingConfig | null,
    incarnation: string,
    dependencies: SingletonControllersDependencies,
  ) {
    const { client, cache } = dependencies;
    const { valueBytes, transactionOps } = platform.storeLimits;
    this.#cache = cache;
    const self = { node: platform.node, incarnation };
    const election = new SingletonElection(
      self,
      { ...config, coordinateMoves: rebalancing !== null },
      dependencies,
    );
    this.#election = election;
    const intents = new ReturnIntents(client, cache, valueBytes);
    this.shardReturnIntents = config.recordReturnIntents ? intents : null;
    const collector = new OrphanCollector(transactionOps, { ...dependencies, election, intents });
    this.orphanCollection = config.collectOrphans ? { collector, intents } : null;
    this.#moveCoordinator =
      rebalancing === null ? null : new MoveCoordinator({ ...dependencies, election });
    this.#garbageCollector = new GarbageCollector(config, {
      ...dependencies,
      election,
      ownNodeKey: storeKey.node(platform.node, incarnation),
      shards: platform.nodes,
      transactionOps,
    });
  }

  /**
   * Runs one round of the election, of garbage collection and of the coordination of moves. Orphan collection runs
   * whenever the cloud's machines are listed instead.
   */
  tick(): void {
    this.#election.tick();
    this.#garbageCollector.tick();
    this.#moveCoordinator?.tick();
  }

  /**
   * Returns the fencing token of a role's current leadership as this node's cache shows it; null without a leader
   * record.
   */
  fencingTokenOf(role: string): number | null {
    return this.#election.view().records.get(role)?.value.token ?? null;
  }

  /** Returns the guard of job acceptances: a key that changes whenever final states are deleted. */
  acceptanceGuard(): Guard {
    const keyName = electionEntryKey.acceptance;
    const known = this.#cache.tables.elections.get(keyName.slice('duties/'.length));
    return { key: keyName, revision: known?.revision ?? 0 };
  }
}
