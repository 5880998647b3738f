/**
 * Capacity control loop of the shards that this node owns: observes demand and machines, decides with the capacity
 * planner, and acts by renting machines (scale out) and by returning machines that are not needed (scale in).
 */
import type { Logger } from 'pino';
import type { CloudClient } from '../../cloud/cloud-client.js';
import type { OperatorConfig } from '../../config/operator.js';
import type { PlatformConfig } from '../../config/platform.js';
import { SUMMARY_INTERVAL_MS } from '../../constants.js';
import {
  planCapacity,
  type CapacityInput,
  type CapacityPlan,
} from '../../core/capacity/capacity-planner.js';
import type { WorkloadStatistics } from '../../core/capacity/workload-statistics.js';
import type { JobSpec, MachineType } from '../../core/model.js';
import type { StoreClient } from '../../store/store-client.js';
import type { WatchCache } from '../../store/watch-cache.js';
import { CAPACITY_PLAN_INTERVAL_MS } from './constants.js';
import type { OwnedShard } from '../owned-shard.js';
import type { ScaleIn } from '../scale-in.js';
import type { ShardController } from '../shard-controller.js';
import { CapacityBackoff } from './capacity-backoff.js';
import { RentalRequests } from './rental-requests.js';

/** Dependencies of `ScaleOut`. */
export interface ScaleOutDependencies {
  readonly config: PlatformConfig;
  readonly operator: OperatorConfig;
  readonly incarnation: string;
  readonly cloud: Pick<CloudClient, 'rent'>;
  readonly client: Pick<StoreClient, 'compareAndSwap'>;
  readonly cache: WatchCache;
  readonly shardController: ShardController;
  readonly scaleIn: ScaleIn;
  readonly workload: WorkloadStatistics;
  /** returns by job class the tasks in shards other than `shard`, waiting or placed */
  readonly activeTasksElsewhere: (shard: number) => ReadonlyMap<string, number>;
  /** returns jobs whose submitters were told to retry later; the retry may reach this or another node */
  readonly expectedJobs: () => readonly JobSpec[];
  /** returns the machine types by name; null: not known yet */
  readonly machineTypes: () => ReadonlyMap<string, MachineType> | null;
  /** monotonic ms */
  readonly now: () => number;
  /** wall-clock ms */
  readonly timeOfDay: () => number;
  readonly log: Logger;
}

/** Plans the machines of owned shards, rents missing ones and has surplus, lost and faulty ones returned. */
export class ScaleOut {
  readonly #backoff = new CapacityBackoff();
  readonly #rentals: RentalRequests;
  #lastPlanAt = -Infinity;
  #lastLimitLogAt = -Infinity;

  constructor(private readonly dependencies: ScaleOutDependencies) {
    const { shardController } = dependencies;
    this.#rentals = new RentalRequests({
      ...dependencies,
      machineRecords: shardController.machines,
      backoff: this.#backoff,
    });
  }

  /** Requests recorded rentals at every call, and makes a new plan every `CAPACITY_PLAN_INTERVAL_MS`. */
  tick(): void {
    const { shardController, machineTypes } = this.dependencies;
    const now = this.dependencies.now();
    const types = machineTypes();
    if (types === null || !shardController.hasAuthority(now)) return;
    for (const owned of shardController.owned.values()) {
      if (owned.isActive) this.#rentals.requestRecorded(owned);
    }
    if (now - this.#lastPlanAt < CAPACITY_PLAN_INTERVAL_MS) return;
    this.#lastPlanAt = now;
    for (const owned of shardController.owned.values()) {
      // Rentals that are being recorded are not in the cache yet, so a plan would rent the same machines again.
      if (!owned.isActive || this.#rentals.isRecording(owned.shard.index)) continue;
      const plan = planCapacity(this.#observe(owned, types, now));
      this.#logPlan(owned.shard.index, plan, now);
      this.#act(owned, plan);
    }
  }

  #observe(
    { shard }: OwnedShard,
    types: ReadonlyMap<string, MachineType>,
    now: number,
  ): CapacityInput {
    const { config, operator, cache, workload, timeOfDay } = this.dependencies;
    const { index } = shard;
    return {
      shard,
      shardCount: config.nodes,
      types,
      zones: config.zones,
      objectives: config.objectives,
      classStats: workload.stats(timeOfDay() / 1000),
      activeTasksElsewhere: this.dependencies.activeTasksElsewhere(index),
      expectedJobs: this.#isFirstOwned(index) ? this.dependencies.expectedJobs() : [],
      pendingRentals: [...cache.tables.rentals.values()]
        .map(({ value }) => value)
        .filter((rental) => rental.shard === index),
      inBackoff: (type, zone, spot) => this.#backoff.isActive({ type, zone, spot }, now),
      reserveSigma: operator.reserveSigma,
      drainS: operator.drainS,
      idleKeepMs: operator.idleKeepS * 1000,
      maxMachines: operator.maxMachines,
      now,
    };
  }

  /** Whether this is the shard of the node that plans for expected jobs, which belong to no shard yet. */
  #isFirstOwned(shard: number): boolean {
    return this.dependencies.shardController.owned.keys().next().value === shard;
  }

  #logPlan(
    shard: number,
    { wanted, rentals, returns, cappedCount }: CapacityPlan,
    now: number,
  ): void {
    const { log, operator } = this.dependencies;
    if (rentals.length > 0 || returns.length > 0) {
      log.debug({ shard, wanted, rentals, returns }, 'capacity planned');
    }
    if (cappedCount > 0 && now - this.#lastLimitLogAt > SUMMARY_INTERVAL_MS) {
      this.#lastLimitLogAt = now;
      log.info(
        { shard, limit: operator.maxMachines, missing: cappedCount },
        'machine limit reached',
      );
    }
  }

  #act(owned: OwnedShard, { rentals, returns }: CapacityPlan): void {
    const { scaleIn } = this.dependencies;
    void this.#rentals.start(owned, rentals);
    scaleIn.markForReturn(owned, returns);
    scaleIn.returnMarked(owned);
  }
}
