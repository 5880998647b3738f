import type { Logger } from 'pino';
import type { CloudClient } from '../cloud/cloud-client.js';
import type { PlatformConfig } from '../config/platform.js';
import { ADOPT_MS, LIST_MS } from './constants.js';
import { shardOfMachine } from '../core/jobs/jobs.js';
import type { Heartbeat } from '../core/model.js';
import type { OrphanCollection } from '../singletons/orphan-collector.js';
import type { WatchCache } from '../store/watch-cache.js';
import type { ListedMachine } from '../wire/schemas.js';
import type { ShardController } from './shard-controller.js';
import { isRetryable } from './retryable-error.js';

/**
 * Reads the cloud's list: addresses of machines, machines that failed, and machines that no record knows. Those
 * are adopted by the shard that their name belongs to, or returned by the holder of the duty of reclaiming.
 */
export class OrphanedInstances {
  readonly #addresses = new Map<string, string>();
  /** since when the list shows them without a record, steady ms */
  readonly #since = new Map<string, number>();
  readonly #adopting = new Set<string>();
  #lastList = -Infinity;
  #listing = false;

  constructor(
    private readonly config: Pick<PlatformConfig, 'nodes' | 'cloudLimits'>,
    private readonly cloud: Pick<CloudClient, 'listMachines' | 'minListIntervalMs'>,
    private readonly cache: WatchCache,
    private readonly shardController: ShardController,
    private readonly orphanCollection: OrphanCollection | null,
    private readonly now: () => number,
    private readonly log: Logger,
  ) {}

  /** Reads the list if it is due, and tells the owned shards what it said of addresses. */
  tick(): void {
    const now = this.now();
    if (!this.shardController.authority(now)) return;
    for (const { shard, isActive } of this.shardController.owned.values()) {
      if (!isActive) continue;
      for (const machine of shard.machines.values()) {
        machine.address ??= this.#addresses.get(machine.record.name) ?? null;
      }
    }
    const listMs = Math.max(LIST_MS, this.cloud.minListIntervalMs());
    if (now - this.#lastList > listMs && this.#needsList()) void this.#list();
  }

  #needsList(): boolean {
    return (
      this.shardController.owned.size > 0 || (this.orphanCollection?.collector.isLeader ?? false)
    );
  }

  async #list(): Promise<void> {
    if (this.#listing) return;
    this.#listing = true;
    await this.#guarded('machine list not answered', async () => {
      await this.#listed(await this.cloud.listMachines());
    });
    this.#listing = false;
    this.#lastList = this.now();
  }

  async #guarded(what: string, work: () => Promise<void>): Promise<void> {
    try {
      await work();
    } catch (error) {
      if (!isRetryable(error)) throw error;
      this.log.debug({ error: error.message }, what);
    }
  }

  async #listed(list: readonly ListedMachine[]): Promise<void> {
    const names = new Set(list.map((machine) => machine.name));
    for (const name of this.#addresses.keys()) if (!names.has(name)) this.#addresses.delete(name);
    for (const name of this.#since.keys()) if (!names.has(name)) this.#since.delete(name);
    for (const { name, address } of list) if (address !== null) this.#addresses.set(name, address);
    const unrecorded = list.filter((machine) => !this.#recorded(machine));
    const settled = unrecorded.filter((machine) => this.#settled(machine));
    if (this.orphanCollection?.collector.electionActive ?? false) await this.#reclaim(settled);
    else for (const machine of settled) void this.#adopt(machine);
  }

  /** Whether a record knows the machine; notes it if the cloud says that it failed. */
  #recorded({ name, status }: ListedMachine): boolean {
    const record = this.cache.machines.get(name)?.value;
    if (record === undefined) return false;
    this.#since.delete(name);
    const state = this.shardController.owned.get(record.shard)?.shard.machines.get(name);
    if (status === 'failed' && state !== undefined && !state.terminating) {
      state.terminating = true;
      this.log.info({ machine: name, shard: record.shard }, 'machine failed');
    }
    return true;
  }

  /** The list may show machines that are gone and were returned; it can't any more after some time. */
  #settled({ name }: ListedMachine): boolean {
    const now = this.now();
    const since = this.#since.get(name) ?? now;
    this.#since.set(name, since);
    const settledMs = ADOPT_MS + this.config.cloudLimits.listLagS * 3000;
    return now - since > settledMs && !this.shardController.machines.isReturned(name);
  }

  /**
   * A report of a machine that is in no record: a rental that was carried out late, or a late copy of
   * the report of a machine that is gone. Only the cloud's list tells which, so it is read soon.
   */
  observe({ machine }: Heartbeat): void {
    if (this.cache.machines.has(machine)) return;
    if (this.shardController.machines.isReturned(machine) || this.#since.has(machine)) return;
    this.#lastList = Math.min(this.#lastList, this.now() - LIST_MS / 2);
  }

  async #reclaim(machines: readonly ListedMachine[]): Promise<void> {
    if (machines.length === 0 || this.orphanCollection === null) return;
    const gone = await this.orphanCollection.collector.collect(machines);
    this.shardController.machines.returned(gone);
  }

  async #adopt({ name, type, zone, spot }: ListedMachine): Promise<void> {
    const shard = shardOfMachine(name, this.config.nodes);
    const owned = this.shardController.owned.get(shard);
    if (owned === undefined || this.#adopting.has(name)) return;
    // Whoever held the duty before it was paused may have sent the machine's return.
    const intents = this.orphanCollection?.intents ?? null;
    if (intents?.recorded('unrecorded').has(name) ?? false) return;
    const guards = intents === null ? [] : [intents.guard('unrecorded')];
    this.#adopting.add(name);
    await this.#guarded('machine not adopted', () =>
      this.shardController.machines.adopt(owned, { shard, type, zone, spot }, name, guards),
    );
    this.#adopting.delete(name);
  }
}
