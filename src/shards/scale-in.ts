/** Returns machines of the shards that this node owns to the cloud. */
import type { Logger } from 'pino';
import type { CloudClient } from '../cloud/cloud-client.js';
import { MAX_MACHINES_PER_RETURN } from '../constants.js';
import type { ReturnIntents } from '../singletons/return-intents.js';
import type { OwnedShard } from './owned-shard.js';
import { attempt } from './retryable-errors.js';
import type { ShardController } from './shard-controller.js';

/** A machine to be returned, and the reason for it. */
export interface PlannedReturn {
  readonly name: string;
  readonly reason: string;
}

/** Dependencies of `ScaleIn`. */
export interface ScaleInDependencies {
  readonly cloud: Pick<CloudClient, 'returnMachines'>;
  readonly shardController: Pick<ShardController, 'owned' | 'machines'>;
  /** write-ahead records of returns; null: returns are sent without being recorded */
  readonly intents: ReturnIntents | null;
  /** monotonic ms */
  readonly now: () => number;
  readonly log: Logger;
}

/** Marks machines as terminating, and repeats the return of marked machines until the cloud has confirmed it. */
export class ScaleIn {
  /** machines whose return is in flight */
  readonly #returning = new Set<string>();

  constructor(private readonly dependencies: ScaleInDependencies) {}

  /** Marks machines as terminating, so that nothing starts there and `returnMarked` returns them. */
  markForReturn({ shard }: OwnedShard, planned: readonly PlannedReturn[]): void {
    for (const { name, reason } of planned) {
      const machine = shard.machines.get(name);
      if (machine === undefined || this.#returning.has(name)) continue;
      machine.terminating = true;
      const fields = { machine: name, shard: shard.index, reason };
      this.dependencies.log.info(fields, 'machine marked for return');
    }
  }

  /**
   * Marks machines as terminating whose return is recorded, for instance by an earlier owner of the shard: its call
   * may still reach the cloud.
   */
  markRecordedReturns(): void {
    const { intents, shardController } = this.dependencies;
    if (intents === null) return;
    for (const [index, { shard }] of shardController.owned) {
      for (const list of [index, 'unrecorded'] as const) {
        for (const name of intents.recorded(list)) {
          const machine = shard.machines.get(name);
          if (machine !== undefined) machine.terminating = true;
        }
      }
    }
  }

  /** Starts the return of all terminating machines of the shard that have no return in flight. */
  returnMarked(owned: OwnedShard): void {
    const names = [...owned.shard.machines.values()]
      .filter((machine) => machine.terminating && !this.#returning.has(machine.record.name))
      .map((machine) => machine.record.name);
    if (names.length > 0) void this.#return(owned, names);
  }

  async #return(owned: OwnedShard, names: readonly string[]): Promise<void> {
    for (const name of names) this.#returning.add(name);
    try {
      await attempt(this.dependencies.log, 'machine return failed', async () => {
        const recorded = await this.#record(owned, names);
        for (let from = 0; from < recorded.length; from += MAX_MACHINES_PER_RETURN) {
          await this.#returnBatch(owned, recorded.slice(from, from + MAX_MACHINES_PER_RETURN));
        }
      });
    } finally {
      for (const name of names) this.#returning.delete(name);
    }
  }

  /** Records the return of the machines. Resolves with those whose return may be sent now. */
  async #record(
    { shard, authorization }: OwnedShard,
    names: readonly string[],
  ): Promise<readonly string[]> {
    const { intents } = this.dependencies;
    if (intents === null) return names;
    const isNeeded = (name: string) => shard.machines.has(name);
    return intents.record(authorization, { list: shard.index, names, isNeeded });
  }

  /** Returns machines and forgets them once the cloud has confirmed it. */
  async #returnBatch(
    { shard, authorization }: OwnedShard,
    names: readonly string[],
  ): Promise<void> {
    const { cloud, shardController, now } = this.dependencies;
    await cloud.returnMachines(names, authorization);
    for (const name of names) shard.removeMachine(name, now());
    shardController.machines.returnedInstances.add(names);
  }
}
