/** Writes the stored machine records of the shards that this node owns. */
import type { Logger } from 'pino';
import type { MachineState } from '../../core/shard/types.js';
import { CALL_PRIORITY, type CallPriority } from '../../store/call-priority.js';
import { StoreRequestError } from '../../store/errors.js';
import type { WatchCache } from '../../store/watch-cache.js';
import type { Guard } from '@sumacstep/leader-election';
import type { RentalRecord } from '../../store/codecs/rental.js';
import { MACHINE_RECORDS_INTERVAL_MS } from './constants.js';
import type { OwnedShard } from '../owned-shard.js';
import {
  commit,
  type CommitDependencies,
  type StoreSizeLimits,
  type Transaction,
} from '../transaction.js';
import { GroupEdits } from './group-edits.js';
import { planMove, type MoveTarget } from './machine-move.js';
import {
  adoptionTransaction,
  isRentalPending,
  rentalTransaction,
  type OrphanedMachine,
} from './new-groups.js';
import { ReturnedInstances } from './returned-instances.js';

/** Dependencies of `MachineRecords`. */
export interface MachineRecordsDependencies {
  readonly config: { readonly storeLimits: StoreSizeLimits };
  readonly client: CommitDependencies['client'];
  readonly cache: WatchCache;
  /** resolves once the cache shows everything that was committed before the call */
  readonly waitForCurrentCache: () => Promise<unknown>;
  /** monotonic ms */
  readonly now: () => number;
  readonly log: Logger;
}

/**
 * Writes the machine records of owned shards. This class makes all changes to the existing groups of a shard, one
 * transaction at a time, so that no change overwrites another.
 */
export class MachineRecords {
  readonly returnedInstances = new ReturnedInstances();
  /** shards with a write of existing groups in flight */
  readonly #writing = new Set<number>();
  /** by shard: when its last write of existing groups ended, monotonic ms */
  readonly #lastWriteAt = new Map<number, number>();

  constructor(private readonly dependencies: MachineRecordsDependencies) {}

  /**
   * Records machines that have come up, and removes returned machines from their records. Does nothing while a write
   * of the shard is in flight or was made less than `MACHINE_RECORDS_INTERVAL_MS` ago.
   */
  async reconcile(owned: OwnedShard, now: number): Promise<void> {
    const { index } = owned.shard;
    const lastWriteAt = this.#lastWriteAt.get(index) ?? -Infinity;
    if (this.#writing.has(index) || now - lastWriteAt < MACHINE_RECORDS_INTERVAL_MS) return;
    const justUp = owned.shard.newlyReadyMachines();
    const edits = this.#observedChanges(index, justUp);
    if (edits.isEmpty) return;
    const priority = justUp.length > 0 ? CALL_PRIORITY.completion : CALL_PRIORITY.background;
    if (!(await this.#writeGroups(owned, priority, edits.transaction()))) return;
    for (const { record } of justUp) {
      if (!edits.holds(record.name)) continue;
      this.dependencies.log.info({ machine: record.name, shard: index }, 'machine came up');
    }
  }

  /** Returns the edits that bring the records in line with machines that came up or were returned. */
  #observedChanges(shard: number, justUp: readonly MachineState[]): GroupEdits {
    const { cache, config } = this.dependencies;
    const edits = new GroupEdits(cache, shard, config.storeLimits.transactionOps);
    for (const { record } of justUp) edits.edit(record.name)?.set(record.name, true);
    this.returnedInstances.forEachRecorded(cache.machines, (name) => {
      edits.edit(name)?.delete(name);
    });
    return edits;
  }

  /** Resolves with false if the groups have changed in the store, or if the store request failed. */
  async #writeGroups(
    { shard, authorization }: OwnedShard,
    priority: CallPriority,
    transaction: Transaction,
  ): Promise<boolean> {
    this.#writing.add(shard.index);
    try {
      return await commit(this.dependencies, authorization, priority, transaction);
    } catch (error) {
      if (!(error instanceof StoreRequestError)) throw error;
      const { log } = this.dependencies;
      log.debug({ shard: shard.index, error: error.message }, 'machine records write failed');
      return false;
    } finally {
      this.#writing.delete(shard.index);
      this.#lastWriteAt.set(shard.index, this.dependencies.now());
    }
  }

  /** Records the machines of an answered rental and deletes the rental's record, in one transaction. */
  async recordRental(
    { shard, authorization }: OwnedShard,
    rental: RentalRecord,
    machines: readonly string[],
  ): Promise<void> {
    const transaction = rentalTransaction(this.dependencies.cache, shard.term, rental, machines);
    await commit(this.dependencies, authorization, CALL_PRIORITY.completion, transaction);
  }

  /**
   * Records a machine that is in no record, in a group of its own. A pending rental may be about to record the same
   * machine for another shard, and a machine with two records would have two owners
   * (docs/incidents/2026-12-02-two-records.md). Every rental is recorded before it is requested from the cloud. So
   * once an up-to-date cache shows neither the machine nor a rental of its kind, no rental can record it any more.
   */
  async adopt(
    { shard, authorization }: OwnedShard,
    machine: OrphanedMachine,
    guards: readonly Guard[] = [],
  ): Promise<void> {
    const { cache, waitForCurrentCache, log } = this.dependencies;
    await waitForCurrentCache();
    if (cache.machines.has(machine.name)) return;
    if (isRentalPending(cache.tables.rentals, machine)) return;
    const transaction = adoptionTransaction(shard.term, machine, guards);
    const adopted = await commit(
      this.dependencies,
      authorization,
      CALL_PRIORITY.background,
      transaction,
    );
    if (adopted) log.info({ machine: machine.name, shard: machine.shard }, 'machine adopted');
  }

  /**
   * Moves machines to another shard in one transaction, as many as it holds. The machines must be empty, with no
   * start on its way to them. Resolves with the names of those that have moved: none if the records have changed,
   * the store request failed, or a write of the shard is in flight.
   */
  async move(
    owned: OwnedShard,
    names: readonly string[],
    target: MoveTarget,
  ): Promise<readonly string[]> {
    const { index } = owned.shard;
    if (this.#writing.has(index)) return [];
    const { cache, config } = this.dependencies;
    const move = planMove(cache, config.storeLimits, index, names, target);
    if (move === null) return [];
    const committed = await this.#writeGroups(owned, CALL_PRIORITY.completion, move.transaction);
    return committed ? move.moved : [];
  }
}
