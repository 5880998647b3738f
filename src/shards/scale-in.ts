import type { Logger } from 'pino';
import type { CloudClient } from '../cloud/cloud-client.js';
import { MAX_RETURN_BATCH } from '../constants.js';
import type { ReturnIntents } from '../singletons/return-intents.js';
import type { OwnedShard } from './owned-shard.js';
import type { ShardController } from './shard-controller.js';
import { isRetryable } from './retryable-error.js';

/** A machine to be returned, and why. */
export interface PlannedReturn {
  readonly name: string;
  readonly reason: string;
}

/** Returns machines of the shards that this node owns to the cloud. */
export class ScaleIn {
  /** machines whose return is on its way */
  readonly #sending = new Set<string>();

  constructor(
    private readonly cloud: Pick<CloudClient, 'returnMachines'>,
    private readonly shardController: Pick<ShardController, 'owned' | 'machines'>,
    /** null: returns are sent without being recorded */
    private readonly intents: ReturnIntents | null,
    private readonly now: () => number,
    private readonly log: Logger,
  ) {}

  /** Takes machines out of use, for a return. */
  mark(index: number, owned: OwnedShard, planned: readonly PlannedReturn[]): void {
    for (const { name, reason } of planned) {
      const machine = owned.shard.machines.get(name);
      if (machine === undefined || this.#sending.has(name)) continue;
      machine.terminating = true;
      this.log.info({ machine: name, shard: index, reason }, 'machine to be returned');
    }
  }

  /** Takes machines out of use whose return an earlier owner has recorded: its call may still arrive. */
  markRecorded(): void {
    if (this.intents === null) return;
    for (const [index, { shard }] of this.shardController.owned) {
      for (const list of [index, 'unrecorded'] as const) {
        for (const name of this.intents.recorded(list)) {
          const machine = shard.machines.get(name);
          if (machine !== undefined) machine.terminating = true;
        }
      }
    }
  }

  /** Returns whatever is out of use and not on its way yet. */
  send(index: number, owned: OwnedShard): void {
    const names = [...owned.shard.machines.values()]
      .filter((machine) => machine.terminating && !this.#sending.has(machine.record.name))
      .map((machine) => machine.record.name);
    if (names.length > 0) void this.#send(index, owned, names);
  }

  async #send(index: number, owned: OwnedShard, names: readonly string[]): Promise<void> {
    for (const name of names) this.#sending.add(name);
    try {
      const recorded = await this.#record(index, owned, names);
      for (let at = 0; at < recorded.length; at += MAX_RETURN_BATCH) {
        await this.#giveBack(owned, recorded.slice(at, at + MAX_RETURN_BATCH));
      }
    } catch (error) {
      if (!isRetryable(error)) throw error;
      this.log.debug({ error: error.message }, 'return not answered');
    } finally {
      for (const name of names) this.#sending.delete(name);
    }
  }

  async #record(index: number, owned: OwnedShard, names: readonly string[]) {
    if (this.intents === null) return names;
    const needed = (name: string) => owned.shard.machines.has(name);
    return this.intents.record(owned.authorization, {
      list: index,
      names,
      isNeeded: needed,
    });
  }

  async #giveBack(owned: OwnedShard, names: readonly string[]): Promise<void> {
    await this.cloud.returnMachines(names, owned.authorization);
    for (const name of names) owned.shard.removeMachine(name, this.now());
    this.shardController.machines.returned(names);
  }
}
