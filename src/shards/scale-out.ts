import { fencedCompareAndSwap, RecordedIntent } from '@sumacstep/leader-election';
import type { Logger } from 'pino';
import type { OperatorConfig } from '../config/operator.js';
import type { PlatformConfig } from '../config/platform.js';
import { SUMMARY_MS } from '../constants.js';
import {
  GROUP_BYTES,
  HOST_BYTES,
  NO_CAPACITY_MS,
  MAX_RENTAL_BATCH,
  RENT_MS,
  RENT_RETRY_MS,
} from './constants.js';
import type { CloudClient } from '../cloud/cloud-client.js';
import { planCapacity } from '../core/capacity/capacity-planner.js';
import type { WorkloadStatistics } from '../core/capacity/workload-statistics.js';
import type { JobSpec, MachineType } from '../core/model.js';
import type { OwnedShard } from './owned-shard.js';
import type { ShardController } from './shard-controller.js';
import { CALL_PRIORITY, type StoreClient } from '../store/store-client.js';
import { key, type RentalRecord } from '../store/keys.js';
import type { WatchCache } from '../store/watch-cache.js';
import type { Write } from '../wire/schemas.js';
import type { ScaleIn } from './scale-in.js';
import { isRetryable } from './retryable-error.js';

type Wish = { type: string; zone: string; spot: boolean; count: number };

/** Plans the machines of the shards that this node owns, and rents what is missing. */
export class ScaleOut {
  #sequence = 0;
  readonly #refused = new Map<string, number>();
  readonly #renting = new Set<string>();
  /** shards whose new hires are being recorded */
  readonly #planning = new Set<number>();
  /** machines of one rental: their record must fit a value of the state service */
  readonly #rentMost: number;
  #lastPlan = -Infinity;
  #lastCapped = -Infinity;

  constructor(
    private readonly config: PlatformConfig,
    private readonly operator: OperatorConfig,
    private readonly incarnation: string,
    private readonly cloud: CloudClient,
    private readonly client: StoreClient,
    private readonly cache: WatchCache,
    private readonly shardController: ShardController,
    private readonly returns: ScaleIn,
    private readonly workload: WorkloadStatistics,
    private readonly elsewhere: (shard: number) => ReadonlyMap<string, number>,
    /** jobs that will be submitted again here or elsewhere */
    private readonly expected: () => readonly JobSpec[],
    private readonly types: () => ReadonlyMap<string, MachineType> | null,
    private readonly now: () => number,
    private readonly nowOfDay: () => number,
    private readonly log: Logger,
  ) {
    const room = Math.floor((config.storeLimits.valueBytes - GROUP_BYTES) / HOST_BYTES);
    this.#rentMost = Math.max(1, Math.min(MAX_RENTAL_BATCH, room));
  }

  tick(): void {
    const now = this.now();
    const types = this.types();
    if (types === null || !this.shardController.authority(now)) return;
    for (const [index, owned] of this.shardController.owned) {
      if (owned.isActive) this.#rentals(index, owned);
    }
    if (now - this.#lastPlan < RENT_MS) return;
    this.#lastPlan = now;
    for (const [index, owned] of this.shardController.owned) {
      if (owned.isActive) this.#plan(index, owned, types, now);
    }
  }

  #plan(
    index: number,
    owned: OwnedShard,
    types: ReadonlyMap<string, MachineType>,
    now: number,
  ): void {
    const pending = [...this.cache.tables.rentals.values()]
      .map((h) => h.value)
      .filter((h) => h.shard === index);
    if (this.#planning.has(index)) return;
    const plan = planCapacity({
      shard: owned.shard,
      shards: this.config.nodes,
      types,
      zones: this.config.zones,
      objectives: this.config.objectives,
      stats: this.workload.stats(this.nowOfDay() / 1000),
      elsewhere: this.elsewhere(index),
      expected: index === [...this.shardController.owned.keys()][0] ? this.expected() : [],
      pending,
      refused: (type, zone, spot) => (this.#refused.get(`${type} ${zone} ${spot}`) ?? 0) > now,
      reserveSigma: this.operator.reserveSigma,
      drainS: this.operator.drainS,
      idleKeepMs: this.operator.idleKeepS * 1000,
      maxMachines: this.operator.maxMachines,
      now,
    });
    if (plan.rentals.length > 0 || plan.returns.length > 0) {
      const { wanted, rentals, returns } = plan;
      this.log.debug({ shard: index, wanted, rentals, returns }, 'capacity');
    }
    if (plan.capped > 0 && now - this.#lastCapped > SUMMARY_MS) {
      this.#lastCapped = now;
      const limit = this.operator.maxMachines;
      this.log.info({ shard: index, limit, missing: plan.capped }, 'machine limit reached');
    }
    const wishes: Wish[] = [];
    for (const wish of plan.rentals) {
      for (let left = wish.count; left > 0; left -= this.#rentMost) {
        wishes.push({ ...wish, count: Math.min(left, this.#rentMost) });
      }
    }
    if (wishes.length > 0) void this.#newRentals(index, owned, wishes);
    this.returns.mark(index, owned, plan.returns);
    this.returns.send(index, owned);
  }

  async #guard(what: string, work: () => Promise<void>): Promise<void> {
    try {
      await work();
    } catch (error) {
      if (!isRetryable(error)) throw error;
      this.log.debug({ error: error.message }, what);
    }
  }

  // --- renting -----------------------------------------------------------------------------------

  /** The names are written before the calls, so that whoever owns the shard can ask again. */
  async #newRentals(shard: number, owned: OwnedShard, wishes: readonly Wish[]): Promise<void> {
    this.#planning.add(shard);
    const some = wishes.slice(0, this.config.storeLimits.transactionOps);
    await this.#guard('hires not recorded', async () => {
      const writes = some.map((wish): Write => {
        this.#sequence += 1;
        const name = `${this.config.node}-${this.incarnation}-${this.#sequence}`;
        return { put: key.rental(shard, name), value: wish };
      });
      const { authorization } = owned;
      const result = await fencedCompareAndSwap(
        this.client,
        authorization,
        CALL_PRIORITY.completion,
        [],
        writes,
      );
      if (result.ok) this.cache.applyOwn(writes, result.epoch);
    });
    this.#planning.delete(shard);
    this.#rentals(shard, owned);
  }

  #rentals(index: number, owned: OwnedShard): void {
    for (const { value: rental, revision } of this.cache.tables.rentals.values()) {
      if (rental.shard !== index || this.#renting.has(rental.name)) continue;
      this.#renting.add(rental.name);
      const stored = { key: key.rental(index, rental.name), revision };
      const intent = RecordedIntent.found(owned.authorization, stored);
      void this.#guard('rental not answered', () => this.#rent(owned, rental, intent)).finally(
        () => {
          setTimeout(() => this.#renting.delete(rental.name), RENT_RETRY_MS);
        },
      );
    }
  }

  async #rent(owned: OwnedShard, rental: RentalRecord, intent: RecordedIntent): Promise<void> {
    const result = await this.cloud.rent({ request: rental.name, ...rental }, intent);
    const where = { type: rental.type, zone: rental.zone, spot: rental.spot, part: rental.shard };
    if (result.kind !== 'rented') {
      const until = this.now() + NO_CAPACITY_MS;
      this.#refused.set(`${rental.type} ${rental.zone} ${rental.spot}`, until);
      if (result.kind === 'malformed')
        this.log.error({ ...where, answer: result.answer }, 'rental');
      else this.log.info(where, 'no capacity');
      await this.shardController.machines.hired(owned, rental, []);
      return;
    }
    this.log.info({ ...where, machines: result.machines.length }, 'machines rented');
    if (result.machines.length < rental.count) {
      const until = this.now() + NO_CAPACITY_MS;
      this.#refused.set(`${rental.type} ${rental.zone} ${rental.spot}`, until);
    }
    await this.shardController.machines.hired(owned, rental, result.machines);
  }
}
