import { FencingRejections, type SessionLease } from '@sumacstep/leader-election';
import type { Logger } from 'pino';
import { steadyMs, timeOfDayMs } from '../clock.js';
import { CloudClient } from '../cloud/cloud-client.js';
import { MachineTypes } from '../cloud/machine-types.js';
import type { SingletonsConfig } from '../config/singletons.js';
import type { OperatorConfig } from '../config/operator.js';
import type { PlatformConfig } from '../config/platform.js';
import type { RebalancingConfig } from '../config/rebalancing.js';
import { LOOP_MS, DEBOUNCE_MS, SUMMARY_MS } from '../constants.js';
import { WATCH_REQUEST_SHARE, FOLLOW_PAUSE_MS, IDLE_LEASES, STORE_FRESH_MS } from './constants.js';
import type { Cancellation } from '../core/cancellation/cancellation.js';
import { CancellationBroadcast } from '../core/cancellation/cancellation-broadcast.js';
import { CancellationCoverage } from '../core/cancellation/cancellation-coverage.js';
import { WorkloadStatistics } from '../core/capacity/workload-statistics.js';
import type { Heartbeat, JobSpec } from '../core/model.js';
import { SingletonControllers } from '../singletons/singleton-controllers.js';
import type { PeerView } from '../shards/peer-view.js';
import { ShardController } from '../shards/shard-controller.js';
import { Gossip, type OwnStatus } from '../peers/gossip.js';
import type { PeerStatus } from '../peers/frames.js';
import { ShardDirectory } from '../peers/shard-directory.js';
import { randomFrom } from '../random.js';
import { ScaleOut } from '../shards/scale-out/scale-out.js';
import { ScaleIn } from '../shards/scale-in.js';
import { OrphanedInstances } from '../shards/orphaned-instances.js';
import { HttpServer } from './http-server.js';
import {
  cloudRateLimitPerNode,
  RateLimitSharing,
  storeLimitsPerNode,
} from './rate-limit-sharing.js';
import { describeShards } from './shard-status.js';
import { Readiness } from './readiness.js';
import { PeriodicSummary } from './summary.js';
import { socketBudget } from './socket-budget.js';
import { ShardMover } from '../rebalancing/shard-mover.js';
import { StoreClient } from '../store/store-client.js';
import { LinearizableReads } from '../store/linearizable-reads.js';
import { createNodeSession } from '../store/node-session.js';
import { watch, type WatchBatch } from '../store/watch.js';
import { WatchCache } from '../store/watch-cache.js';
import { userRoutes } from '../users/user-routes.js';
import { JobReader } from '../users/job-reader.js';
import { JobService } from '../users/job-service.js';
import { heartbeatRoutes, type HeartbeatResponse } from '../workers/heartbeat-routes.js';

/** The duty of renting and returning machines of a shard: its record is the shard's. */
const SHARD_DUTY = /^parts\/(\d+)$/;

/** What files under deploy/ switch on; null: off. */
export interface OptionalFeatures {
  readonly duties: SingletonsConfig | null;
  readonly shares: RebalancingConfig | null;
}

/** One controller: the core wired to state service, cloud, workers, users and the other nodes. */
export class Service {
  readonly #now = steadyMs;
  readonly #incarnation: string;
  readonly #random: (below: number) => number;
  readonly #store: StoreClient;
  readonly #cloud: CloudClient;
  readonly #cache = new WatchCache();
  readonly #linearizable: LinearizableReads;
  readonly #lease: SessionLease;
  readonly #fencingRejections: FencingRejections;
  /** null: the duties are switched off */
  readonly #duties: SingletonControllers | null;
  /** null: moves of machines between shards are switched off */
  readonly #shareOwner: ShardMover | null;
  readonly #scaleIn: ScaleIn;
  readonly #orphanedInstances: OrphanedInstances;
  readonly #workload = new WorkloadStatistics();
  readonly #gossip: Gossip;
  readonly #broadcast: CancellationBroadcast;
  readonly #coverage: CancellationCoverage;
  readonly #types: MachineTypes;
  readonly #directory: ShardDirectory;
  readonly #readiness = new Readiness();
  readonly #limits: RateLimitSharing;
  readonly #summary: PeriodicSummary;
  readonly #server: HttpServer;
  readonly #shardController: ShardController;
  readonly #scaleOut: ScaleOut;
  readonly #jobReader: JobReader;
  readonly #jobs: JobService;
  readonly #stop = new AbortController();
  readonly #timers: NodeJS.Timeout[] = [];
  #timer: NodeJS.Timeout | null = null;
  /** when the loop runs next */
  #nextTickAt = Infinity;
  /** the cache's version whose jobs are learned from */
  #learned = -1;

  constructor(
    private readonly config: PlatformConfig,
    private readonly operator: OperatorConfig,
    private readonly log: Logger,
    { duties: dutiesConfig, shares }: OptionalFeatures = { duties: null, shares: null },
  ) {
    const seed = (timeOfDayMs() * 1000 + Math.floor(steadyMs() * 1000) + process.pid) | 0;
    this.#random = randomFrom(seed);
    this.#incarnation = `${timeOfDayMs().toString(36)}${this.#random(2 ** 30).toString(36)}`;
    this.#store = new StoreClient(
      config.store,
      storeLimitsPerNode(config, operator, config.nodes),
      config.storeLimits,
      this.#now,
      log,
    );
    this.#linearizable = new LinearizableReads(this.#store, this.#cache, this.#now);
    const cloudRps = cloudRateLimitPerNode(config, operator, config.nodes);
    this.#cloud = new CloudClient(config.cloud, cloudRps, this.#now);
    this.#types = new MachineTypes(this.#cloud, log);
    this.#limits = new RateLimitSharing(config, operator, this.#store, this.#cloud);
    this.#summary = new PeriodicSummary(log);
    this.#server = new HttpServer(log);
    const life = {
      node: config.node,
      incarnation: this.#incarnation,
      supportsElection: dutiesConfig !== null,
      supportsRebalancing: shares !== null,
    };
    this.#lease = createNodeSession(this.#store, life, this.#now, log);
    this.#fencingRejections = new FencingRejections((duty) => this.#currentToken(duty), log);
    const others = config.peers.map((p) => p.node);
    this.#broadcast = new CancellationBroadcast(others, config.workers.cancelS * 1000);
    this.#coverage = new CancellationCoverage(others);
    this.#gossip = new Gossip({
      node: config.node,
      incarnation: this.#incarnation,
      peers: config.peers,
      ownStatus: (detailed, sentAt) => this.#status(detailed, sentAt),
      onStatus: (status, acknowledgedAt) => this.#heard(status, acknowledgedAt),
      now: this.#now,
      log,
    });
    this.#directory = new ShardDirectory(
      config.nodes,
      () => this.#shardController.owned,
      this.#gossip,
      this.#now,
    );
    this.#shardController = new ShardController({
      config,
      operator,
      incarnation: this.#incarnation,
      client: this.#store,
      cache: this.#cache,
      lease: this.#lease,
      waitForCurrentCache: () => this.#linearizable.waitUntilCurrent(),
      peers: this.#peerView(),
      fencingRejections: this.#fencingRejections,
      machineTypes: () => this.#types.current,
      startObjectives: (jobClass) => this.#startObjectives(jobClass),
      now: this.#now,
      timeOfDay: timeOfDayMs,
      log,
    });
    this.#duties =
      dutiesConfig === null
        ? null
        : new SingletonControllers(config, dutiesConfig, shares, this.#incarnation, {
            client: this.#store,
            cloud: this.#cloud,
            cache: this.#cache,
            authority: () => this.#shardController.authority(this.#now()),
            current: () => this.#linearizable.waitUntilCurrent(),
            fencingRejections: this.#fencingRejections,
            now: this.#now,
            timeOfDay: timeOfDayMs,
            log,
          });
    this.#shareOwner =
      shares === null
        ? null
        : new ShardMover(shares, {
            client: this.#store,
            cache: this.#cache,
            shardController: this.#shardController,
            now: this.#now,
            log,
          });
    const loopDependencies = {
      config,
      cloud: this.#cloud,
      cache: this.#cache,
      shardController: this.#shardController,
      now: this.#now,
      log,
    };
    this.#scaleIn = new ScaleIn({
      ...loopDependencies,
      intents: this.#duties?.shardReturnIntents ?? null,
    });
    this.#orphanedInstances = new OrphanedInstances({
      ...loopDependencies,
      orphanCollection: this.#duties?.orphanCollection ?? null,
    });
    this.#scaleOut = new ScaleOut({
      ...loopDependencies,
      operator,
      incarnation: this.#incarnation,
      client: this.#store,
      scaleIn: this.#scaleIn,
      workload: this.#workload,
      activeTasksElsewhere: (shard) => this.#directory.activeTasksElsewhere(shard),
      expectedJobs: () => this.#jobs.deferredJobs(),
      machineTypes: () => this.#types.current,
      timeOfDay: timeOfDayMs,
    });
    this.#jobReader = new JobReader(this.#store, this.#cache, this.#linearizable);
    const routing = {
      types: () => this.#types.current,
      loads: (spec: JobSpec) => this.#directory.loads(spec),
      termOf: (shard: number) => this.#shardController.termOf(shard),
      random: this.#random,
    };
    this.#jobs = new JobService(
      {
        client: this.#store,
        cache: this.#cache,
        reader: this.#jobReader,
        routing,
        acceptanceGuard: () => this.#duties?.acceptanceGuard() ?? null,
        now: this.#now,
      },
      {
        teams: config.teams,
        shards: config.nodes,
        valueBytes: config.storeLimits.valueBytes,
        loadThreshold: operator.loadThreshold,
      },
    );
    this.#cache.on('change', () => this.#reconcileDebounced());
    this.#cache.on('cancelled', (c: Cancellation) => this.#broadcast.add(c, this.#now()));
  }

  async start(): Promise<void> {
    await this.#gossip.listen(this.config.peerListen);
    await this.#listen();
    this.#supervise('lease', this.#lease.run());
    this.#supervise('watch', this.#follow());
    this.#supervise('machine types', this.#types.run(this.#stop.signal));
    this.#tickIn(LOOP_MS);
    this.#timers.push(setInterval(() => this.#summarize(), SUMMARY_MS));
    this.log.info({ listen: this.config.listen, incarnation: this.#incarnation }, 'started');
  }

  /** Loops that must never end; if one does, the process must not go on in an unknown state. */
  #supervise(name: string, work: Promise<void>): void {
    work.catch((error: unknown) => {
      if (this.#stop.signal.aborted) return;
      throw new Error(`the loop "${name}" ended`, { cause: error });
    });
  }

  #listen(): Promise<void> {
    const workers = heartbeatRoutes(
      (heartbeat) => this.#handleHeartbeat(heartbeat),
      () => this.#cache.ready,
    );
    const users = userRoutes({
      jobs: this.#jobs,
      reader: this.#jobReader,
      progress: (uid) => this.#directory.progress(uid),
      // Whoever runs the job should stop it now, whether or not the state service tells it.
      onCancelled: (uid) => {
        if (this.#broadcast.isPending(uid)) this.#gossip.flush();
      },
      isReady: () => this.#ready(),
      storeAvailable: () => this.#store.available,
      timeOfDay: timeOfDayMs,
      now: this.#now,
      random: this.#random,
      onMalformed: (reason) => this.log.info({ reason }, 'malformed submission'),
      onAccepted: (spec, ms) => {
        this.#summary.accepted(ms);
        const { uid, jobClass, tasks } = spec;
        this.log.debug({ job: uid, class: jobClass, tasks }, 'accepted');
      },
    });
    const { inbound } = socketBudget(this.config.sockets, this.config.peers.length);
    const idleMs = this.config.workers.leaseS * 1000 * IDLE_LEASES;
    return this.#server.listen([workers, users], this.config.listen, {
      connections: inbound,
      idleMs,
      dropped: () => this.#summary.connectionDropped(),
    });
  }

  async #follow(): Promise<void> {
    const rps = (this.config.storeLimits.rps * this.operator.storeRequestShare) / this.config.nodes;
    const options = {
      pauseMs: Math.max(FOLLOW_PAUSE_MS, 1000 / (rps * WATCH_REQUEST_SHARE)),
      now: this.#now,
      reading: (since: number | null) => this.#linearizable.onReadState(since),
    };
    for await (const batch of watch(this.#store, this.#stop.signal, options)) {
      this.#cache.apply(batch as WatchBatch);
    }
  }

  // --- loops -------------------------------------------------------------------------------------

  /** Looks at the change together with those that come right after it. */
  #reconcileDebounced(): void {
    if (this.#timer === null || this.#nextTickAt - this.#now() <= DEBOUNCE_MS) return;
    clearTimeout(this.#timer);
    this.#tickIn(DEBOUNCE_MS);
  }

  #tickIn(ms: number): void {
    this.#nextTickAt = this.#now() + ms;
    this.#timer = setTimeout(() => this.#tick(), ms);
  }

  #tick(): void {
    if (this.#stop.signal.aborted) return;
    this.#tickIn(LOOP_MS);
    this.#observeReadiness();
    const { ready } = this.#cache;
    this.#limits.update(ready ? this.#shardController.aliveNodes() : this.config.nodes);
    this.#learn();
    this.#scaleIn.markRecordedReturns();
    this.#shareOwner?.tick();
    this.#shardController.tick();
    for (const [index, { shard }] of this.#shardController.owned) {
      for (const run of shard.finishedRuns.splice(0)) this.#workload.ran(run.jobClass, run.runS);
      for (const { uid, ...e } of shard.events.splice(0)) {
        this.log.debug({ job: uid, shard: index, term: shard.term, ...e }, 'task');
      }
    }
    this.#scaleIn.markRecordedReturns();
    this.#orphanedInstances.tick();
    this.#scaleOut.tick();
    this.#duties?.tick();
  }

  /** Arrivals, when there are new ones, and what other nodes have learned of run times. */
  #learn(): void {
    if (this.#learned === this.#cache.version) return;
    this.#learned = this.#cache.version;
    const nowS = timeOfDayMs() / 1000;
    for (const { value } of this.#cache.tables.activeJobs.values()) {
      this.#workload.arrived(value.spec, Math.min(nowS, value.at / 1000));
    }
    this.#workload.keepOnly(this.#cache.tables.activeJobs);
    for (const status of this.#gossip.recent()) {
      for (const c of status.classes) this.#workload.adopt(c.jobClass, c.runS, c.finished);
    }
  }

  #handleHeartbeat(heartbeat: Heartbeat): HeartbeatResponse {
    const reply = this.#shardController.handleHeartbeat(heartbeat);
    if (reply.kind === 'unavailable') this.#orphanedInstances.handleHeartbeat(heartbeat);
    else if (reply.kind === 'answer') this.#reconcileDebounced();
    return reply;
  }

  #ready(): boolean {
    if (!this.#cache.ready || this.#types.current === null) return false;
    return this.#readiness.ready(this.#now());
  }

  #observeReadiness(): void {
    const inputs = {
      storeAvailable: this.#store.available,
      peerHasStore: this.#peerWithStore() !== null,
      noPeerReachable: this.config.peers.length > 0 && this.#gossip.reachable().length === 0,
    };
    this.#readiness.observe(inputs, this.#now());
  }

  // --- aims --------------------------------------------------------------------------------------

  /** Aims for starts as they are, aims for ends less the time that a task runs. */
  #startObjectives(jobClass: string): number[] {
    const runS = this.#workload.runS(jobClass) ?? 0;
    return this.config.objectives
      .filter((o) => o.jobClass === jobClass && (o.kind === 'wait' || o.kind === 'finished'))
      .map((o) => (o.kind === 'wait' ? o.withinS : Math.max(0, o.withinS - runS)))
      .sort((a, b) => a - b);
  }

  // --- other nodes -------------------------------------------------------------------------------

  #hasStore(): boolean {
    return this.#store.available && this.#now() - this.#store.lastSuccessAt < STORE_FRESH_MS;
  }

  #peerWithStore(): string | null {
    return this.#gossip.reachable().find((s) => s.hasStore)?.node ?? null;
  }

  #peerView(): PeerView {
    return {
      reachablePeerWithStore: () => this.#peerWithStore(),
      incarnationWithStore: (node) =>
        this.#gossip.reachable().find((s) => s.node === node && s.hasStore)?.incarnation ?? null,
      capacityElsewhere: (spec, excluded) => this.#directory.capacityElsewhere(spec, excluded),
      lessAllocated: (spec, shard) => this.#directory.lessAllocated(spec, shard),
      imagesOf: (machine) => this.#directory.imagesOf(machine),
      peerReceivingHeartbeats: (shard) => this.#directory.nodeReachingMostWorkers(shard),
      cancellationsKnownUntil: () => this.#coverage.knownUntil(this.#cache.currentAt),
    };
  }

  #heard(status: PeerStatus, echoed: number): void {
    const { node, incarnation, cancellations, cancellationsComplete: complete } = status;
    for (const c of cancellations) this.#cache.learnCancelled(c);
    const broadcast = { node, incarnation, complete, acknowledgedSentAt: echoed };
    this.#coverage.receive(broadcast, this.#cache.currentAt, this.#now());
    this.#broadcast.acknowledge(node, echoed);
  }

  #status(detailed: boolean, sentAt: number): OwnStatus {
    return {
      cancellations: this.#broadcast.nextMessage(sentAt),
      cancellationsComplete: this.#broadcast.isComplete(sentAt),
      hasStore: this.#hasStore(),
      ...describeShards(this.#shardController, this.#directory, detailed, this.#now()),
      classes: this.#workload.runs(),
    };
  }

  /** The token of the present tenure, by a current read. */
  async #currentToken(duty: string): Promise<number | null> {
    await this.#linearizable.waitUntilCurrent();
    const shard = SHARD_DUTY.exec(duty)?.[1];
    if (shard !== undefined) return this.#shardController.termOf(Number(shard));
    return this.#duties?.fencingTokenOf(duty) ?? null;
  }

  #summarize(): void {
    const activeJobs = this.#cache.tables.activeJobs.size;
    const fencingRejections = this.#fencingRejections.counts;
    this.#summary.write(
      this.#shardController.owned,
      activeJobs,
      this.#store.available,
      fencingRejections,
    );
  }

  close(): void {
    this.#stop.abort();
    for (const t of this.#timers) clearTimeout(t);
    if (this.#timer !== null) clearTimeout(this.#timer);
    this.#shardController.close();
    this.#lease.close();
    this.#gossip.close();
    this.#server.close();
    this.#linearizable.close();
    this.#store.close();
    this.#cloud.close();
  }
}
