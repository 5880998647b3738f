/**
 * A shard that this node owns under one term, with the state of the work that the control loops do for it.
 * Built once per term; the controller drops it when the store shows another owner or a higher term.
 */
import type { Authorization } from '@sumacstep/leader-election';
import type { Shard } from '../core/shard/shard.js';
import { PROGRESS_SAVE_INTERVAL_MS, COMPLETION_SAVE_INTERVAL_MS } from './completions/constants.js';

/**
 * `transferring`: a transaction that names another owner has been sent and its outcome is not known, so this
 * node must not act for the shard, whatever becomes of the transaction.
 */
export type OwnedShardState = 'active' | 'transferring';

/** Guards the transitions of an owned shard: transfer, saving of completions, probes of workers. */
export class OwnedShard {
  #state: OwnedShardState = 'active';
  #saving = false;
  #lastSaveAt: number;
  #lastProgressSaveAt: number;
  #fullSyncRequested = true;
  readonly #probing = new Set<string>();

  constructor(
    readonly shard: Shard,
    /** the right to act for the shard under its term */
    readonly authorization: Authorization,
    /** steady ms */
    createdAt: number,
  ) {
    this.#lastSaveAt = createdAt;
    this.#lastProgressSaveAt = createdAt;
  }

  get state(): OwnedShardState {
    return this.#state;
  }

  /** Whether no transfer is under way. It does not prove ownership: that is what the authority is for. */
  get isActive(): boolean {
    return this.#state === 'active';
  }

  /** Ends all acting for the shard; called before a transaction that names another owner is sent. */
  suspend(): void {
    this.#state = 'transferring';
  }

  /** Goes on, once the transfer is known to have failed. */
  resume(): void {
    this.#state = 'active';
  }

  /** Changes of the cache pass by while the shard is not synchronized: the next time it takes in everything. */
  requestFullSync(): void {
    this.#fullSyncRequested = true;
  }

  /** Whether the shard has to take in everything, which the caller then does. */
  consumeFullSyncRequest(): boolean {
    const needed = this.#fullSyncRequested;
    this.#fullSyncRequested = false;
    return needed;
  }

  /** Whether completions may be saved now: one write at a time, at least `COMPLETION_SAVE_INTERVAL_MS` after the last one. */
  isSaveDue(now: number): boolean {
    return !this.#saving && now - this.#lastSaveAt >= COMPLETION_SAVE_INTERVAL_MS;
  }

  beginSave(): void {
    this.#saving = true;
  }

  /** Ends a save, whatever its outcome. */
  endSave(now: number): void {
    this.#saving = false;
    this.#lastSaveAt = now;
  }

  /** Whether completions that end neither a job nor a range are due. */
  isProgressSaveDue(now: number): boolean {
    return now - this.#lastProgressSaveAt >= PROGRESS_SAVE_INTERVAL_MS;
  }

  /** Progress is part of a save that is about to be sent. */
  recordProgressSave(now: number): void {
    this.#lastProgressSaveAt = now;
  }

  /** Claims the probe of a worker; false if one is under way, or has ended just now. */
  beginProbe(machine: string): boolean {
    if (this.#probing.has(machine)) return false;
    this.#probing.add(machine);
    return true;
  }

  /** Allows the next probe of the worker. */
  endProbe(machine: string): void {
    this.#probing.delete(machine);
  }
}
