/** The control loops of a node: their order within a round, and the schedule of the rounds. */
import { DEBOUNCE_MS, RECONCILE_INTERVAL_MS } from '../constants.js';
import type { CloudClient } from '../cloud/cloud-client.js';
import type { MachineTypes } from '../cloud/machine-types.js';
import type { WorkloadStatistics } from '../core/capacity/workload-statistics.js';
import type { Heartbeat, JobSpec } from '../core/model.js';
import { ShardMover } from '../rebalancing/shard-mover.js';
import { OrphanedInstances } from '../shards/orphaned-instances.js';
import { ScaleIn } from '../shards/scale-in.js';
import { ScaleOut } from '../shards/scale-out/scale-out.js';
import type { ShardController } from '../shards/shard-controller.js';
import type { SingletonControllers } from '../singletons/singleton-controllers.js';
import type { NodeContext } from './node-context.js';
import type { OptionalFeatures } from './optional-features.js';
import { logShardEvents } from './shard-event-log.js';
import type { PeerExchange } from './peer-exchange.js';
import type { StoreAccess } from './store-access.js';
import type { HeartbeatResponse } from '../workers/heartbeat-routes.js';

/** Dependencies of `ControlLoops`. */
export interface ControlLoopsDependencies {
  readonly context: NodeContext;
  readonly store: StoreAccess;
  readonly cloud: CloudClient;
  readonly machineTypes: MachineTypes;
  readonly peers: PeerExchange;
  readonly workload: WorkloadStatistics;
  readonly shardController: ShardController;
  /** null: singleton controllers are disabled */
  readonly singletons: SingletonControllers | null;
  readonly features: OptionalFeatures;
  /** jobs whose users were lately told to retry their submission */
  readonly expectedJobs: () => readonly JobSpec[];
  /** called at the start of each round */
  readonly onRound: () => void;
}

/** Runs a round of all control loops once per interval, or soon after a change. */
export class ControlLoops {
  readonly #scaleIn: ScaleIn;
  readonly #scaleOut: ScaleOut;
  readonly #orphanedInstances: OrphanedInstances;
  /** null: shard rebalancing is disabled */
  readonly #shardMover: ShardMover | null;
  #timer: NodeJS.Timeout | null = null;
  /** monotonic ms; start of the next round */
  #nextRoundAt = Infinity;
  /** version of the cache whose jobs the workload statistics include; -1: none */
  #observedCacheVersion = -1;
  #closed = false;

  constructor(private readonly dependencies: ControlLoopsDependencies) {
    const { context, store, cloud, machineTypes, peers, workload, singletons } = dependencies;
    const { client, cache } = store;
    const { shardController, features, expectedJobs } = dependencies;
    const shared = { ...context, client, cloud, cache, shardController };
    this.#shardMover = features.shares === null ? null : new ShardMover(features.shares, shared);
    this.#scaleIn = new ScaleIn({ ...shared, intents: singletons?.shardReturnIntents ?? null });
    this.#orphanedInstances = new OrphanedInstances({
      ...shared,
      orphanCollection: singletons?.orphanCollection ?? null,
    });
    this.#scaleOut = new ScaleOut({
      ...shared,
      scaleIn: this.#scaleIn,
      workload,
      activeTasksElsewhere: (shard) => peers.directory.activeTasksElsewhere(shard),
      expectedJobs,
      machineTypes: () => machineTypes.current,
    });
  }

  /** Schedules the first round. */
  start(): void {
    this.#scheduleRound(RECONCILE_INTERVAL_MS);
  }

  /** Runs a round within `DEBOUNCE_MS`, so that one round handles a whole burst of changes. */
  runSoon(): void {
    const { now } = this.dependencies.context;
    if (this.#timer === null || this.#nextRoundAt - now() <= DEBOUNCE_MS) return;
    clearTimeout(this.#timer);
    this.#scheduleRound(DEBOUNCE_MS);
  }

  /** Returns the response to a worker's heartbeat. If one of the own shards answers it, a round runs soon. */
  handleHeartbeat(heartbeat: Heartbeat): HeartbeatResponse {
    const response = this.dependencies.shardController.handleHeartbeat(heartbeat);
    if (response.kind === 'unavailable') this.#orphanedInstances.handleHeartbeat(heartbeat);
    else if (response.kind === 'answer') this.runSoon();
    return response;
  }

  /** Stops the rounds. */
  close(): void {
    this.#closed = true;
    if (this.#timer !== null) clearTimeout(this.#timer);
  }

  #scheduleRound(delayMs: number): void {
    this.#nextRoundAt = this.dependencies.context.now() + delayMs;
    this.#timer = setTimeout(() => this.#runRound(), delayMs);
  }

  #runRound(): void {
    if (this.#closed) return;
    this.#scheduleRound(RECONCILE_INTERVAL_MS);
    const { shardController, singletons, onRound } = this.dependencies;
    onRound();
    this.#observeWorkload();
    this.#scaleIn.markRecordedReturns();
    this.#shardMover?.tick();
    shardController.tick();
    this.#drainEvents();
    this.#scaleIn.markRecordedReturns();
    this.#orphanedInstances.tick();
    this.#scaleOut.tick();
    singletons?.tick();
    const isPassIncomplete = [...shardController.owned.values()].some(
      ({ shard }) => shard.isPassIncomplete,
    );
    if (isPassIncomplete) this.runSoon();
  }

  /**
   * Adds new job arrivals and the run times that peers have learned to the workload statistics, if the cache has
   * changed.
   */
  #observeWorkload(): void {
    const { context, store, peers, workload } = this.dependencies;
    const { version, tables } = store.cache;
    if (this.#observedCacheVersion === version) return;
    this.#observedCacheVersion = version;
    const nowS = context.timeOfDay() / 1000;
    for (const { value } of tables.activeJobs.values()) {
      workload.recordArrival(value.spec, Math.min(nowS, value.at / 1000));
    }
    workload.forgetEndedJobs(tables.activeJobs);
    for (const { classes } of peers.gossip.recent()) {
      for (const { jobClass, runS, finished } of classes)
        workload.adoptRunTime(jobClass, runS, finished);
    }
  }

  /** Moves the run times of finished tasks to the workload statistics, and the shards' events to the log. */
  #drainEvents(): void {
    const { context, shardController, workload } = this.dependencies;
    for (const { shard } of shardController.owned.values()) {
      for (const run of shard.finishedRuns.splice(0)) workload.recordRun(run.jobClass, run.runS);
      logShardEvents(shard, context.log);
    }
  }
}
