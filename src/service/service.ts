/**
 * Composition of one node of the service: store access, peer exchange, shard controller, control loops and user
 * interface. Starts and closes every component that holds timers or connections.
 */
import { FencingRejections } from '@sumacstep/leader-election';
import type { Logger } from 'pino';
import { CloudClient } from '../cloud/cloud-client.js';
import { MachineTypes } from '../cloud/machine-types.js';
import type { OperatorConfig } from '../config/operator.js';
import type { PlatformConfig } from '../config/platform.js';
import { SUMMARY_INTERVAL_MS } from '../constants.js';
import type { Cancellation } from '../core/cancellation/cancellation.js';
import { WorkloadStatistics } from '../core/capacity/workload-statistics.js';
import { ShardController } from '../shards/shard-controller.js';
import { SingletonControllers } from '../singletons/singleton-controllers.js';
import { heartbeatRoutes } from '../workers/heartbeat-routes.js';
import { IDLE_TIMEOUT_LEASES } from './constants.js';
import { ControlLoops } from './control-loops.js';
import { HttpServer } from './http-server.js';
import { createNodeContext, type NodeContext } from './node-context.js';
import type { OptionalFeatures } from './optional-features.js';
import { PeerExchange } from './peer-exchange.js';
import { cloudRateLimitPerNode, RateLimitSharing } from './rate-limit-sharing.js';
import { Readiness } from './readiness.js';
import { socketBudget } from './socket-budget.js';
import { startObjectives } from './start-objectives.js';
import { StoreAccess } from './store-access.js';
import { PeriodicSummary } from './summary.js';
import { UserInterface } from './user-interface.js';

export type { OptionalFeatures } from './optional-features.js';

/** Key of a shard's record. It is also the name of the role that rents and returns the shard's machines. */
const SHARD_ROLE = /^parts\/(\d+)$/;

/** Runs one node: connects the core to the store, the cloud, the workers, the users and the peers. */
export class Service {
  readonly #context: NodeContext;
  readonly #store: StoreAccess;
  readonly #cloud: CloudClient;
  readonly #machineTypes: MachineTypes;
  readonly #workload = new WorkloadStatistics();
  readonly #peers: PeerExchange;
  readonly #fencingRejections: FencingRejections;
  readonly #shardController: ShardController;
  /** null: singleton controllers are disabled */
  readonly #singletons: SingletonControllers | null;
  readonly #users: UserInterface;
  readonly #loops: ControlLoops;
  readonly #readiness = new Readiness();
  readonly #rateLimits: RateLimitSharing;
  readonly #summary: PeriodicSummary;
  readonly #server: HttpServer;
  readonly #stop = new AbortController();
  #summaryTimer: NodeJS.Timeout | null = null;

  constructor(
    config: PlatformConfig,
    operator: OperatorConfig,
    log: Logger,
    features: OptionalFeatures = { duties: null, shares: null },
  ) {
    const context = createNodeContext(config, operator, log);
    this.#context = context;
    this.#store = new StoreAccess(context, features);
    const cloudRate = cloudRateLimitPerNode(config, operator, config.nodes);
    this.#cloud = new CloudClient(config.cloud, cloudRate, context.now);
    this.#machineTypes = new MachineTypes(this.#cloud, log);
    this.#rateLimits = new RateLimitSharing(config, operator, this.#store.client, this.#cloud);
    this.#summary = new PeriodicSummary(log);
    this.#server = new HttpServer(log);
    this.#fencingRejections = new FencingRejections((role) => this.#currentToken(role), log);
    this.#peers = new PeerExchange({
      context,
      store: this.#store,
      workload: this.#workload,
      shardController: () => this.#shardController,
    });
    this.#shardController = this.#createShardController();
    this.#singletons = this.#createSingletons(features);
    this.#users = this.#createUserInterface();
    this.#loops = this.#createControlLoops(features);
    const { cache } = this.#store;
    cache.on('change', () => this.#loops.runSoon());
    cache.on('cancelled', (cancellation: Cancellation) => {
      this.#peers.addCancellation(cancellation);
    });
  }

  /** Opens the listeners and starts all loops; resolves once the node accepts connections. */
  async start(): Promise<void> {
    const { config, incarnation, log } = this.#context;
    const { signal } = this.#stop;
    await this.#peers.gossip.listen(config.peerListen);
    await this.#listen();
    this.#supervise('lease', this.#store.lease.run());
    this.#supervise('watch', this.#store.runWatch(signal));
    this.#supervise('machine types', this.#machineTypes.run(signal));
    this.#loops.start();
    this.#summaryTimer = setInterval(() => this.#summarize(), SUMMARY_INTERVAL_MS);
    log.info({ listen: config.listen, incarnation }, 'started');
  }

  /** Stops all components without notifying anyone: to peers and workers it looks like a crash. */
  close(): void {
    this.#stop.abort();
    if (this.#summaryTimer !== null) clearInterval(this.#summaryTimer);
    this.#loops.close();
    this.#shardController.close();
    this.#store.closeLease();
    this.#peers.gossip.close();
    this.#server.close();
    this.#store.close();
    this.#cloud.close();
  }

  #createShardController(): ShardController {
    const { client, cache, lease, linearizableReads } = this.#store;
    return new ShardController({
      ...this.#context,
      client,
      cache,
      lease,
      waitForCurrentCache: () => linearizableReads.waitUntilCurrent(),
      peers: this.#peers.view(),
      fencingRejections: this.#fencingRejections,
      machineTypes: () => this.#machineTypes.current,
      startObjectives: (jobClass) => this.#startObjectives(jobClass),
    });
  }

  #createSingletons({ duties, shares }: OptionalFeatures): SingletonControllers | null {
    if (duties === null) return null;
    const { config, incarnation, now, timeOfDay, log } = this.#context;
    const { client, cache, linearizableReads } = this.#store;
    return new SingletonControllers(config, duties, shares, incarnation, {
      client,
      cloud: this.#cloud,
      cache,
      hasAuthority: () => this.#shardController.hasAuthority(now()),
      waitUntilCurrent: () => linearizableReads.waitUntilCurrent(),
      fencingRejections: this.#fencingRejections,
      now,
      timeOfDay,
      log,
    });
  }

  #createUserInterface(): UserInterface {
    return new UserInterface({
      context: this.#context,
      store: this.#store,
      peers: this.#peers,
      machineTypes: this.#machineTypes,
      shardController: this.#shardController,
      singletons: this.#singletons,
      summary: this.#summary,
      isReady: () => this.#isReady(),
    });
  }

  #createControlLoops(features: OptionalFeatures): ControlLoops {
    return new ControlLoops({
      context: this.#context,
      store: this.#store,
      cloud: this.#cloud,
      machineTypes: this.#machineTypes,
      peers: this.#peers,
      workload: this.#workload,
      shardController: this.#shardController,
      singletons: this.#singletons,
      features,
      expectedJobs: () => this.#users.jobs.deferredJobs(),
      onRound: () => {
        this.#observeReadiness();
        this.#shareRateLimits();
      },
    });
  }

  /** Crashes the process if a loop that must never end fails, since the node's state would be unknown. */
  #supervise(name: string, loop: Promise<void>): void {
    loop.catch((error: unknown) => {
      if (this.#stop.signal.aborted) return;
      throw new Error(`background loop "${name}" failed`, { cause: error });
    });
  }

  #listen(): Promise<void> {
    const { config } = this.#context;
    const workers = heartbeatRoutes(
      (heartbeat) => this.#loops.handleHeartbeat(heartbeat),
      () => this.#store.cache.ready,
    );
    return this.#server.listen([workers, this.#users.routes()], config.listen, {
      maxConnections: socketBudget(config.sockets, config.peers.length).inboundConnections,
      idleTimeoutMs: config.workers.leaseS * 1000 * IDLE_TIMEOUT_LEASES,
      onDropped: () => this.#summary.recordDroppedConnection(),
    });
  }

  #isReady(): boolean {
    if (!this.#store.cache.ready || this.#machineTypes.current === null) return false;
    return this.#readiness.isReady(this.#context.now());
  }

  #observeReadiness(): void {
    const inputs = {
      storeAvailable: this.#store.client.available,
      peerHasStore: this.#peers.reachablePeerWithStore() !== null,
      noPeerReachable: this.#peers.isIsolated,
    };
    this.#readiness.observe(inputs, this.#context.now());
  }

  /** Divides the rate limits by the alive nodes, or by all nodes until the cache is ready. */
  #shareRateLimits(): void {
    const { ready } = this.#store.cache;
    const { nodes } = this.#context.config;
    this.#rateLimits.update(ready ? this.#shardController.liveNodeCount() : nodes);
  }

  #startObjectives(jobClass: string): number[] {
    const runS = this.#workload.runS(jobClass) ?? 0;
    return startObjectives(this.#context.config.objectives, jobClass, runS);
  }

  /** Returns the fencing token of a role's current leader by a linearizable read; null if the role has no leader. */
  async #currentToken(role: string): Promise<number | null> {
    await this.#store.linearizableReads.waitUntilCurrent();
    const shard = SHARD_ROLE.exec(role)?.[1];
    if (shard !== undefined) return this.#shardController.termOf(Number(shard));
    return this.#singletons?.fencingTokenOf(role) ?? null;
  }

  #summarize(): void {
    this.#summary.write({
      shards: this.#shardController.owned,
      activeJobs: this.#store.cache.tables.activeJobs.size,
      storeAvailable: this.#store.client.available,
      fencingRejections: this.#fencingRejections.counts,
      directStarts: this.#shardController.directStartCounts,
    });
  }
}
