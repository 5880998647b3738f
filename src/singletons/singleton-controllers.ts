import type { FencingRejections, Guard } from '@sumacstep/leader-election';
import type { Logger } from 'pino';
import type { CloudClient } from '../cloud/cloud-client.js';
import type { SingletonsConfig } from '../config/singletons.js';
import type { PlatformConfig } from '../config/platform.js';
import type { RebalancingConfig } from '../config/rebalancing.js';
import { MoveCoordinator } from '../rebalancing/move-coordinator.js';
import type { Reclaimer } from '../shards/orphaned-instances.js';
import type { StoreClient } from '../store/store-client.js';
import { electionEntryKey, key } from '../store/keys.js';
import type { WatchCache } from '../store/watch-cache.js';
import { GarbageCollector } from './garbage-collector.js';
import { SingletonElection } from './singleton-election.js';
import { OrphanCollector } from './orphan-collector.js';
import { ReturnIntents } from './return-intents.js';

/** What the duties need of the process. */
export interface SingletonControllersDependencies {
  readonly client: StoreClient;
  readonly cloud: CloudClient;
  readonly cache: WatchCache;
  /** whether this node provably owns what the cache shows as its own */
  readonly authority: () => boolean;
  /** resolves once the cache shows everything that was committed before the call */
  readonly current: () => Promise<unknown>;
  readonly fencingRejections: FencingRejections;
  /** steady ms */
  readonly now: () => number;
  readonly timeOfDay: () => number;
  readonly log: Logger;
}

type Platform = Pick<PlatformConfig, 'node' | 'nodes' | 'storeLimits'>;

/** The exclusive duties as they are switched on, put together. */
export class SingletonControllers {
  readonly #controller: SingletonElection;
  readonly #clearing: GarbageCollector;
  readonly #mover: MoveCoordinator | null;
  readonly #cache: WatchCache;
  /** records returns of shards; null if that is switched off */
  readonly shardReturns: ReturnIntents | null;
  /** returns machines that no record knows; null if that is switched off */
  readonly reclaimer: Reclaimer | null;

  constructor(
    platform: Platform,
    config: SingletonsConfig,
    shares: RebalancingConfig | null,
    incarnation: string,
    ports: SingletonControllersDependencies,
  ) {
    const { client, cache } = ports;
    const { valueBytes, transactionOps } = platform.storeLimits;
    this.#cache = cache;
    const switched = { ...config, move: shares !== null };
    this.#controller = new SingletonElection({ node: platform.node, incarnation }, switched, ports);
    const duties = this.#controller;
    const intents = new ReturnIntents(client, cache, valueBytes);
    this.shardReturns = config.recordReturnIntents ? intents : null;
    const reclaiming = new OrphanCollector(transactionOps, { ...ports, duties, intents });
    this.reclaimer = config.collectOrphans ? { reclaiming, intents } : null;
    this.#mover = shares === null ? null : new MoveCoordinator({ ...ports, duties });
    this.#clearing = new GarbageCollector(config, {
      ...ports,
      duties,
      ownNodeKey: key.node(platform.node, incarnation),
      shards: platform.nodes,
      transactionOps,
    });
  }

  /** One round of the duties' loops. */
  tick(): void {
    this.#controller.tick();
    this.#clearing.tick();
    this.#mover?.tick();
  }

  /** The token of a duty's present tenure as it is known here; null if it never had one. */
  tokenOf(duty: string): number | null {
    return this.#controller.view().records.get(duty)?.value.token ?? null;
  }

  /** What acceptances depend on: it changes whenever final states are cleared. */
  acceptanceGuard(): Guard {
    const name = electionEntryKey.acceptance;
    const known = this.#cache.tables.elections.get(name.slice('duties/'.length));
    return { key: name, revision: known?.revision ?? 0 };
  }
}
