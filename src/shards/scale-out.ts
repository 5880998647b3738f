import { fencedTransaction, RecordedIntent } from '@sumacstep/duties';
import type { Logger } from 'pino';
import type { OperatorConfig } from '../config/operator.js';
import type { PlatformConfig } from '../config/platform.js';
import {
  GROUP_BYTES,
  HOST_BYTES,
  NO_CAPACITY_MS,
  RENT_MOST,
  RENT_MS,
  RENT_RETRY_MS,
  SUMMARY_MS,
} from '../constants.js';
import type { CloudClient } from '../cloud/client.js';
import { planCapacity } from '../core/capacity/capacity-planner.js';
import type { Learning } from '../core/capacity/workload-statistics.js';
import type { JobSpec, MachineType } from '../core/model.js';
import type { ShardController, Owned } from './shard-controller.js';
import { CALL, type StateClient } from '../store/store-client.js';
import { key, type HireRecord } from '../store/keys.js';
import type { WatchCache } from '../store/watch-cache.js';
import type { Write } from '../wire/schemas.js';
import type { Returns } from './scale-in.js';
import { isTrouble } from './retryable-error.js';

type Wish = { type: string; zone: string; spot: boolean; count: number };

/** Plans the machines of the shards that this node owns, and rents what is missing. */
export class Rentals {
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
    private readonly client: StateClient,
    private readonly cache: WatchCache,
    private readonly shardController: ShardController,
    private readonly returns: Returns,
    private readonly learning: Learning,
    private readonly elsewhere: (shard: number) => ReadonlyMap<string, number>,
    /** jobs that will be submitted again here or elsewhere */
    private readonly expected: () => readonly JobSpec[],
    private readonly types: () => ReadonlyMap<string, MachineType> | null,
    private readonly now: () => number,
    private readonly nowOfDay: () => number,
    private readonly log: Logger,
  ) {
    const room = Math.floor((config.stateLimits.valueBytes - GROUP_BYTES) / HOST_BYTES);
    this.#rentMost = Math.max(1, Math.min(RENT_MOST, room));
  }

  tick(): void {
    const now = this.now();
    const types = this.types();
    if (types === null || !this.shardController.authority(now)) return;
    for (const [index, owned] of this.shardController.owned) {
      if (!owned.suspended) this.#hires(index, owned);
    }
    if (now - this.#lastPlan < RENT_MS) return;
    this.#lastPlan = now;
    for (const [index, owned] of this.shardController.owned) {
      if (!owned.suspended) this.#plan(index, owned, types, now);
    }
  }

  #plan(index: number, owned: Owned, types: ReadonlyMap<string, MachineType>, now: number): void {
    const pending = [...this.cache.tables['hires/'].values()]
      .map((h) => h.value)
      .filter((h) => h.shard === index);
    if (this.#planning.has(index)) return;
    const plan = planCapacity({
      shard: owned.shard,
      shards: this.config.nodes,
      types,
      zones: this.config.zones,
      objectives: this.config.objectives,
      stats: this.learning.stats(this.nowOfDay() / 1000),
      elsewhere: this.elsewhere(index),
      expected: index === [...this.shardController.owned.keys()][0] ? this.expected() : [],
      pending,
      refused: (type, zone, spot) => (this.#refused.get(`${type} ${zone} ${spot}`) ?? 0) > now,
      reserveSigma: this.operator.reserveSigma,
      drainS: this.operator.drainS,
      idleKeepMs: this.operator.idleKeepS * 1000,
      machinesMost: this.operator.machinesMost,
      now,
    });
    if (plan.rent.length > 0 || plan.giveBack.length > 0) {
      const { wanted, rent, giveBack } = plan;
      this.log.debug({ shard: index, wanted, rent, giveBack }, 'capacity');
    }
    if (plan.capped > 0 && now - this.#lastCapped > SUMMARY_MS) {
      this.#lastCapped = now;
      const limit = this.operator.machinesMost;
      this.log.info({ shard: index, limit, missing: plan.capped }, 'machine limit reached');
    }
    const wishes: Wish[] = [];
    for (const wish of plan.rent) {
      for (let left = wish.count; left > 0; left -= this.#rentMost) {
        wishes.push({ ...wish, count: Math.min(left, this.#rentMost) });
      }
    }
    if (wishes.length > 0) void this.#newHires(index, owned, wishes);
    this.returns.mark(index, owned, plan.giveBack);
    this.returns.send(index, owned);
  }

  async #guard(what: string, work: () => Promise<void>): Promise<void> {
    try {
      await work();
    } catch (error) {
      if (!isTrouble(error)) throw error;
      this.log.debug({ error: error.message }, what);
    }
  }

  // --- renting -----------------------------------------------------------------------------------

  /** The names are written before the calls, so that whoever owns the shard can ask again. */
  async #newHires(shard: number, owned: Owned, wishes: readonly Wish[]): Promise<void> {
    this.#planning.add(shard);
    const some = wishes.slice(0, this.config.stateLimits.transactionOps);
    await this.#guard('hires not recorded', async () => {
      const writes = some.map((wish): Write => {
        this.#sequence += 1;
        const name = `${this.config.node}-${this.incarnation}-${this.#sequence}`;
        return { put: key.hire(shard, name), value: wish };
      });
      const { authorization } = owned;
      const result = await fencedTransaction(
        this.client,
        authorization,
        CALL.completion,
        [],
        writes,
      );
      if (result.ok) this.cache.applyOwn(writes, result.epoch);
    });
    this.#planning.delete(shard);
    this.#hires(shard, owned);
  }

  #hires(index: number, owned: Owned): void {
    for (const { value: hire, revision } of this.cache.tables['hires/'].values()) {
      if (hire.shard !== index || this.#renting.has(hire.name)) continue;
      this.#renting.add(hire.name);
      const stored = { key: key.hire(index, hire.name), revision };
      const intent = RecordedIntent.found(owned.authorization, stored);
      void this.#guard('rental not answered', () => this.#rent(owned, hire, intent)).finally(() => {
        setTimeout(() => this.#renting.delete(hire.name), RENT_RETRY_MS);
      });
    }
  }

  async #rent(owned: Owned, hire: HireRecord, intent: RecordedIntent): Promise<void> {
    const result = await this.cloud.rent({ request: hire.name, ...hire }, intent);
    const where = { type: hire.type, zone: hire.zone, spot: hire.spot, part: hire.shard };
    if (result.kind !== 'rented') {
      const until = this.now() + NO_CAPACITY_MS;
      this.#refused.set(`${hire.type} ${hire.zone} ${hire.spot}`, until);
      if (result.kind === 'malformed')
        this.log.error({ ...where, answer: result.answer }, 'rental');
      else this.log.info(where, 'no capacity');
      await this.shardController.machines.hired(owned, hire, []);
      return;
    }
    this.log.info({ ...where, machines: result.machines.length }, 'machines rented');
    if (result.machines.length < hire.count) {
      const until = this.now() + NO_CAPACITY_MS;
      this.#refused.set(`${hire.type} ${hire.zone} ${hire.spot}`, until);
    }
    await this.shardController.machines.hired(owned, hire, result.machines);
  }
}
