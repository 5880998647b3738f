/**
 * The singleton controllers of a node, which run on one node of the cluster at a time: orphan collection, garbage
 * collection and the coordination of machine moves.
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

/** What the singleton controllers need of the process. */
export interface SingletonControllersDependencies {
  readonly client: StoreClient;
  readonly cloud: CloudClient;
  readonly cache: WatchCache;
  /** whether this node provably owns what the cache shows as its own */
  readonly hasAuthority: () => boolean;
  /** resolves once the cache shows everything that was committed before the call */
  readonly waitUntilCurrent: () => Promise<unknown>;
  readonly fencingRejections: FencingRejections;
  /** the steady clock, ms */
  readonly now: () => number;
  /** time of day, ms */
  readonly timeOfDay: () => number;
  readonly log: Logger;
}

type Platform = Pick<PlatformConfig, 'node' | 'nodes' | 'storeLimits'>;

/** The singleton controllers that are switched on, and the election of their leaders. */
export class SingletonControllers {
  readonly #election: SingletonElection;
  readonly #garbageCollector: GarbageCollector;
  readonly #moveCoordinator: MoveCoordinator | null;
  readonly #cache: WatchCache;
  /** intents of the shards' own returns; null if they are switched off */
  readonly shardReturnIntents: ReturnIntents | null;
  /** null if it is switched off */
  readonly orphanCollection: OrphanCollection | null;

  constructor(
    platform: Platform,
    config: SingletonsConfig,
    shares: RebalancingConfig | null,
    incarnation: string,
    dependencies: SingletonControllersDependencies,
  ) {
    const { client, cache } = dependencies;
    const { valueBytes, transactionOps } = platform.storeLimits;
    this.#cache = cache;
    const self = { node: platform.node, incarnation };
    const election = new SingletonElection(
      self,
      { ...config, coordinateMoves: shares !== null },
      dependencies,
    );
    this.#election = election;
    const intents = new ReturnIntents(client, cache, valueBytes);
    this.shardReturnIntents = config.recordReturnIntents ? intents : null;
    const collector = new OrphanCollector(transactionOps, { ...dependencies, election, intents });
    this.orphanCollection = config.collectOrphans ? { collector, intents } : null;
    this.#moveCoordinator =
      shares === null ? null : new MoveCoordinator({ ...dependencies, election });
    this.#garbageCollector = new GarbageCollector(config, {
      ...dependencies,
      election,
      ownNodeKey: storeKey.node(platform.node, incarnation),
      shards: platform.nodes,
      transactionOps,
    });
  }

  /** One round of the election and of the controllers that run by themselves; orphan collection follows the cloud's list. */
  tick(): void {
    this.#election.tick();
    this.#garbageCollector.tick();
    this.#moveCoordinator?.tick();
  }

  /** The fencing token of a role's present leadership as it is known here; null if it never had a leader. */
  fencingTokenOf(role: string): number | null {
    return this.#election.view().records.get(role)?.value.token ?? null;
  }

  /** What acceptances of jobs are guarded by: it changes whenever final states are deleted. */
  acceptanceGuard(): Guard {
    const name = electionEntryKey.acceptance;
    const known = this.#cache.tables.elections.get(name.slice('duties/'.length));
    return { key: name, revision: known?.revision ?? 0 };
  }
}
