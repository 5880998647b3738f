import type { Logger } from 'pino';
import type { OperatorConfig } from '../config/operator.js';
import type { PlatformConfig } from '../config/platform.js';
import {
  ADOPT_MS,
  GROUP_BYTES,
  HOST_BYTES,
  LIST_MS,
  NO_CAPACITY_MS,
  RENT_MOST,
  RENT_MS,
  RENT_RETRY_MS,
  RETURN_MOST,
  SUMMARY_MS,
} from '../constants.js';
import { CloudTrouble, type CloudClient } from '../cloud/client.js';
import { planCapacity } from '../core/capacity.js';
import { partOfMachine } from '../core/jobs.js';
import type { Learning } from '../core/learning.js';
import type { JobSpec, MachineType, Report } from '../core/model.js';
import type { PartController, Owned } from './part-controller.js';
import { CALL, StateTrouble, type StateClient } from '../state/client.js';
import { key, type HireRecord } from '../state/keys.js';
import type { WatchCache } from '../state/watch-cache.js';
import type { ListedMachine, Write } from '../wire/schemas.js';

type Wish = { type: string; zone: string; spot: boolean; count: number };

/** Rents and returns machines for the parts that this node owns. */
export class Rentals {
  #sequence = 0;
  readonly #refused = new Map<string, number>();
  readonly #renting = new Set<string>();
  /** parts whose new hires are being recorded */
  readonly #planning = new Set<number>();
  readonly #returning = new Set<string>();
  readonly #unrecorded = new Map<string, number>();
  readonly #adopting = new Set<string>();
  readonly addresses = new Map<string, string>();
  /** machines of one rental: their record must fit a value of the state service */
  readonly #rentMost: number;
  #lastPlan = -Infinity;
  #lastCapped = -Infinity;
  #lastList = -Infinity;
  #listing = false;

  constructor(
    private readonly config: PlatformConfig,
    private readonly operator: OperatorConfig,
    private readonly incarnation: string,
    private readonly cloud: CloudClient,
    private readonly client: StateClient,
    private readonly cache: WatchCache,
    private readonly partController: PartController,
    private readonly learning: Learning,
    private readonly elsewhere: (part: number) => ReadonlyMap<string, number>,
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
    if (types === null || !this.partController.authority(now)) return;
    for (const [index, owned] of this.partController.owned) {
      if (owned.suspended) continue;
      for (const m of owned.part.machines.values()) {
        m.address ??= this.addresses.get(m.record.name) ?? null;
      }
      this.#hires(index, owned);
    }
    const listMs = Math.max(LIST_MS, this.cloud.listEveryMs());
    if (now - this.#lastList > listMs && this.partController.owned.size > 0) void this.#list();
    if (now - this.#lastPlan < RENT_MS) return;
    this.#lastPlan = now;
    for (const [index, owned] of this.partController.owned) {
      if (!owned.suspended) this.#plan(index, owned, types, now);
    }
  }

  #plan(index: number, owned: Owned, types: ReadonlyMap<string, MachineType>, now: number): void {
    const pending = [...this.cache.tables['hires/'].values()]
      .map((h) => h.value)
      .filter((h) => h.part === index);
    if (this.#planning.has(index)) return;
    const plan = planCapacity({
      part: owned.part,
      parts: this.config.nodes,
      types,
      zones: this.config.zones,
      objectives: this.config.objectives,
      stats: this.learning.stats(this.nowOfDay() / 1000),
      elsewhere: this.elsewhere(index),
      expected: index === [...this.partController.owned.keys()][0] ? this.expected() : [],
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
      this.log.debug({ part: index, wanted, rent, giveBack }, 'capacity');
    }
    if (plan.capped > 0 && now - this.#lastCapped > SUMMARY_MS) {
      this.#lastCapped = now;
      const limit = this.operator.machinesMost;
      this.log.info({ part: index, limit, missing: plan.capped }, 'machine limit reached');
    }
    const wishes: Wish[] = [];
    for (const wish of plan.rent) {
      for (let left = wish.count; left > 0; left -= this.#rentMost) {
        wishes.push({ ...wish, count: Math.min(left, this.#rentMost) });
      }
    }
    if (wishes.length > 0) void this.#newHires(index, owned, wishes);
    const names = plan.giveBack.filter((g) => !this.#returning.has(g.name));
    for (const g of names) {
      const m = owned.part.machines.get(g.name);
      if (m === undefined) continue;
      m.returning = true;
      this.log.info({ machine: g.name, part: index, reason: g.reason }, 'machine to be returned');
    }
    const all = [...owned.part.machines.values()].filter((m) => m.returning);
    void this.#giveBack(
      owned,
      all.map((m) => m.record.name).filter((n) => !this.#returning.has(n)),
    );
  }

  async #guard(what: string, work: () => Promise<void>): Promise<void> {
    try {
      await work();
    } catch (error) {
      if (!(error instanceof StateTrouble) && !(error instanceof CloudTrouble)) throw error;
      this.log.debug({ error: error.message }, what);
    }
  }

  // --- renting -----------------------------------------------------------------------------------

  /** The names are written before the calls, so that whoever owns the part can ask again. */
  async #newHires(part: number, owned: Owned, wishes: readonly Wish[]): Promise<void> {
    this.#planning.add(part);
    const some = wishes.slice(0, this.config.stateLimits.transactionOps);
    await this.#guard('hires not recorded', async () => {
      const writes = some.map((wish): Write => {
        this.#sequence += 1;
        const name = `${this.config.node}-${this.incarnation}-${this.#sequence}`;
        return { put: key.hire(part, name), value: wish };
      });
      const when = [this.partController.condition(part, owned)];
      const result = await this.client.transact(CALL.completion, when, writes);
      if (result.ok) this.cache.applyOwn(writes, result.epoch);
    });
    this.#planning.delete(part);
    this.#hires(part, owned);
  }

  #hires(index: number, owned: Owned): void {
    for (const { value: hire } of this.cache.tables['hires/'].values()) {
      if (hire.part !== index || this.#renting.has(hire.name)) continue;
      this.#renting.add(hire.name);
      void this.#guard('rental not answered', () => this.#rent(owned, hire)).finally(() => {
        setTimeout(() => this.#renting.delete(hire.name), RENT_RETRY_MS);
      });
    }
  }

  async #rent(owned: Owned, hire: HireRecord): Promise<void> {
    const result = await this.cloud.rent({ request: hire.name, ...hire }, () =>
      this.partController.actsFor(owned),
    );
    const where = { type: hire.type, zone: hire.zone, spot: hire.spot, part: hire.part };
    if (result.kind !== 'rented') {
      const until = this.now() + NO_CAPACITY_MS;
      this.#refused.set(`${hire.type} ${hire.zone} ${hire.spot}`, until);
      if (result.kind === 'malformed')
        this.log.error({ ...where, answer: result.answer }, 'rental');
      else this.log.info(where, 'no capacity');
      await this.partController.machines.hired(owned, hire, []);
      return;
    }
    this.log.info({ ...where, machines: result.machines.length }, 'machines rented');
    if (result.machines.length < hire.count) {
      const until = this.now() + NO_CAPACITY_MS;
      this.#refused.set(`${hire.type} ${hire.zone} ${hire.spot}`, until);
    }
    await this.partController.machines.hired(owned, hire, result.machines);
  }

  // --- returning ---------------------------------------------------------------------------------

  async #giveBack(owned: Owned, names: readonly string[]): Promise<void> {
    for (let at = 0; at < names.length; at += RETURN_MOST) {
      const some = names.slice(at, at + RETURN_MOST);
      for (const n of some) this.#returning.add(n);
      await this.#guard('return not answered', async () => {
        await this.cloud.giveBack(some, () => this.partController.actsFor(owned));
        for (const n of some) owned.part.machineGone(n, this.now());
        this.partController.machines.returned(some);
      });
      for (const n of some) this.#returning.delete(n);
    }
  }

  // --- machines that nobody recorded ---------------------------------------------------------------

  async #list(): Promise<void> {
    if (this.#listing) return;
    this.#listing = true;
    await this.#guard('machine list not answered', async () =>
      this.#listed(await this.cloud.list()),
    );
    this.#listing = false;
    this.#lastList = this.now();
  }

  #listed(list: readonly ListedMachine[]): void {
    const now = this.now();
    const names = new Set(list.map((m) => m.name));
    for (const n of this.addresses.keys()) if (!names.has(n)) this.addresses.delete(n);
    for (const n of this.#unrecorded.keys()) if (!names.has(n)) this.#unrecorded.delete(n);
    const settled = ADOPT_MS + this.config.cloudLimits.listLagS * 3000;
    for (const m of list) {
      if (m.address !== null) this.addresses.set(m.name, m.address);
      const record = this.cache.machines.get(m.name)?.value;
      if (record !== undefined) {
        this.#unrecorded.delete(m.name);
        const state = this.partController.owned.get(record.part)?.part.machines.get(m.name);
        if (m.status === 'failed' && state !== undefined && !state.returning) {
          state.returning = true;
          this.log.info({ machine: m.name, part: record.part }, 'machine failed');
        }
        continue;
      }
      // The list may show machines that are gone and were returned; wait until it cannot any more.
      const since = this.#unrecorded.get(m.name) ?? now;
      this.#unrecorded.set(m.name, since);
      const part = partOfMachine(m.name, this.config.nodes);
      if (now - since > settled && this.partController.owned.has(part)) {
        void this.#adopt(part, m.name, m.type, m.zone, m.spot);
      }
    }
  }

  /**
   * A report of a machine that is in no record: a rental that was carried out late, or a late copy of
   * the report of a machine that is gone. Only the cloud's list tells which, so it is read soon.
   */
  sighted(report: Report): void {
    const now = this.now();
    const name = report.machine;
    if (this.cache.machines.has(name) || this.partController.machines.isReturned(name)) return;
    if (!this.#unrecorded.has(name)) this.#lastList = Math.min(this.#lastList, now - LIST_MS / 2);
  }

  async #adopt(
    part: number,
    name: string,
    type: string,
    zone: string,
    spot: boolean,
  ): Promise<void> {
    const owned = this.partController.owned.get(part);
    if (owned === undefined || this.#adopting.has(name)) return;
    if (this.partController.machines.isReturned(name)) return;
    this.#adopting.add(name);
    await this.#guard('machine not adopted', () =>
      this.partController.machines.adopt(owned, { part, type, zone, spot }, name),
    );
    this.#adopting.delete(name);
  }
}
