/**
 * Reads the cloud's list of machines for their addresses, for machines that failed, and for orphaned machines, which
 * are in no record. An orphaned machine is adopted by the shard that its name maps to, or returned by the leader of
 * the orphan collection.
 */
import type { Logger } from 'pino';
import type { CloudClient } from '../cloud/cloud-client.js';
import type { PlatformConfig } from '../config/platform.js';
import { shardOfMachine } from '../core/jobs/jobs.js';
import type { Heartbeat } from '../core/model.js';
import type { OrphanCollection } from '../singletons/orphan-collector.js';
import type { WatchCache } from '../store/watch-cache.js';
import type { ListedMachine } from '../wire/cloud.js';
import { ADOPTION_DELAY_MS, MACHINE_LIST_INTERVAL_MS } from './constants.js';
import { attempt } from './retryable-errors.js';
import type { ShardController } from './shard-controller.js';

/** Dependencies of `OrphanedInstances`. */
export interface OrphanedInstancesDependencies {
  readonly config: Pick<PlatformConfig, 'nodes' | 'cloudLimits'>;
  readonly cloud: Pick<CloudClient, 'listMachines' | 'minListIntervalMs'>;
  readonly cache: WatchCache;
  readonly shardController: ShardController;
  /** null: orphaned machines are always adopted */
  readonly orphanCollection: OrphanCollection | null;
  /** monotonic ms */
  readonly now: () => number;
  readonly log: Logger;
}

/** Reads the cloud's list while this node owns a shard or collects orphaned machines, and acts on its content. */
export class OrphanedInstances {
  /** by machine, as the list showed them last */
  readonly #addresses = new Map<string, string>();
  /** by machine: since when the list shows it without a record, monotonic ms */
  readonly #unrecordedSince = new Map<string, number>();
  /** machines whose adoption is in flight */
  readonly #adopting = new Set<string>();
  #lastListAt = -Infinity;
  #listing = false;

  constructor(private readonly dependencies: OrphanedInstancesDependencies) {}

  /** Sets the listed addresses of machines in the owned shards that have none, and reads the list if it is due. */
  tick(): void {
    const { shardController, cloud } = this.dependencies;
    const now = this.dependencies.now();
    if (!shardController.hasAuthority(now)) return;
    for (const { shard, isActive } of shardController.owned.values()) {
      if (!isActive) continue;
      for (const machine of shard.machines.values()) {
        machine.address ??= this.#addresses.get(machine.record.name) ?? null;
      }
    }
    const intervalMs = Math.max(MACHINE_LIST_INTERVAL_MS, cloud.minListIntervalMs());
    if (now - this.#lastListAt > intervalMs && this.#needsList()) void this.#readList();
  }

  /**
   * Makes the list due earlier if the heartbeat's machine is in no record. The machine may come from a rental that
   * was carried out late, or it may be gone and the heartbeat a late copy: only the cloud's list tells which.
   */
  handleHeartbeat({ machine }: Heartbeat): void {
    const { cache, shardController, now } = this.dependencies;
    if (cache.machines.has(machine)) return;
    if (shardController.machines.returnedInstances.has(machine)) return;
    if (this.#unrecordedSince.has(machine)) return;
    this.#lastListAt = Math.min(this.#lastListAt, now() - MACHINE_LIST_INTERVAL_MS / 2);
  }

  #needsList(): boolean {
    const { shardController, orphanCollection } = this.dependencies;
    return shardController.owned.size > 0 || (orphanCollection?.collector.isLeader ?? false);
  }

  async #readList(): Promise<void> {
    if (this.#listing) return;
    this.#listing = true;
    const { cloud, log, now } = this.dependencies;
    await attempt(log, 'machine list request failed', async () => {
      await this.#handleList(await cloud.listMachines());
    });
    this.#listing = false;
    this.#lastListAt = now();
  }

  async #handleList(list: readonly ListedMachine[]): Promise<void> {
    this.#forgetUnlisted(new Set(list.map((machine) => machine.name)));
    for (const { name, address } of list) if (address !== null) this.#addresses.set(name, address);
    const unrecorded = list.filter((machine) => !this.#isRecorded(machine));
    const orphaned = unrecorded.filter((machine) => this.#isOrphaned(machine));
    if (this.dependencies.orphanCollection?.collector.electionActive ?? false) {
      await this.#collect(orphaned);
    } else for (const machine of orphaned) void this.#adopt(machine);
  }

  #forgetUnlisted(listed: ReadonlySet<string>): void {
    for (const map of [this.#addresses, this.#unrecordedSince]) {
      for (const name of map.keys()) if (!listed.has(name)) map.delete(name);
    }
  }

  /** Whether the machine is in a record. Marks it as terminating if it is and the cloud lists it as failed. */
  #isRecorded({ name, status }: ListedMachine): boolean {
    const { cache, shardController, log } = this.dependencies;
    const record = cache.machines.get(name)?.value;
    if (record === undefined) return false;
    this.#unrecordedSince.delete(name);
    const machine = shardController.owned.get(record.shard)?.shard.machines.get(name);
    if (status === 'failed' && machine !== undefined && !machine.terminating) {
      machine.terminating = true;
      log.info({ machine: name, shard: record.shard }, 'machine failed');
    }
    return true;
  }

  /**
   * Whether a machine without a record is orphaned. The list lags, so it may show returned machines for some time: a
   * machine counts as orphaned only once it has been listed without a record for longer than that.
   */
  #isOrphaned({ name }: ListedMachine): boolean {
    const { config, shardController } = this.dependencies;
    const now = this.dependencies.now();
    const since = this.#unrecordedSince.get(name) ?? now;
    this.#unrecordedSince.set(name, since);
    const settledMs = ADOPTION_DELAY_MS + config.cloudLimits.listLagS * 3000;
    return now - since > settledMs && !shardController.machines.returnedInstances.has(name);
  }

  /** Has the machines returned by the orphan collection, if this node is its leader. */
  async #collect(machines: readonly ListedMachine[]): Promise<void> {
    const { orphanCollection, shardController } = this.dependencies;
    if (machines.length === 0 || orphanCollection === null) return;
    const returned = await orphanCollection.collector.collect(machines);
    shardController.machines.returnedInstances.add(returned);
  }

  /** Records the machine in the shard that its name maps to, if this node owns that shard. */
  async #adopt({ name, type, zone, spot }: ListedMachine): Promise<void> {
    const { config, shardController, orphanCollection, log } = this.dependencies;
    const shard = shardOfMachine(name, config.nodes);
    const owned = shardController.owned.get(shard);
    if (owned === undefined || this.#adopting.has(name)) return;
    // The leader of the orphan collection may have sent the machine's return before the collection was paused.
    const intents = orphanCollection?.intents ?? null;
    if (intents?.recorded('unrecorded').has(name) ?? false) return;
    const guards = intents === null ? [] : [intents.guard('unrecorded')];
    this.#adopting.add(name);
    await attempt(log, 'machine adoption failed', () =>
      shardController.machines.adopt(owned, { name, shard, type, zone, spot }, guards),
    );
    this.#adopting.delete(name);
  }
}
