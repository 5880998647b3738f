/**
 * A shard that this node owns under one term, with the state of the work that the control loops do for it.
 * Built once per term; the controller drops it when the store shows another owner or a higher term.
 */
import type { Authorization } from '@sumacstep/leader-election';
import type { Shard } from '../core/shard/shard.js';
import { PROGRESS_MS, SAVE_MS } from './constants.js';

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
  #lastProgressAt: number;
  #needsFullSync = true;
  readonly #probing = new Set<string>();

  constructor(
    readonly shard: Shard,
    /** the right to act for the shard under its term */
    readonly authorization: Authorization,
    /** steady ms */
    createdAt: number,
  ) {
    this.#lastSaveAt = createdAt;
    this.#lastProgressAt = createdAt;
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
  requireFullSync(): void {
    this.#needsFullSync = true;
  }

  /** Whether the shard has to take in everything, which the caller then does. */
  takeFullSync(): boolean {
    const needed = this.#needsFullSync;
    this.#needsFullSync = false;
    return needed;
  }

  /** Whether completions may be saved now: one write at a time, at least `SAVE_MS` after the last one. */
  saveDue(now: number): boolean {
    return !this.#saving && now - this.#lastSaveAt >= SAVE_MS;
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
  progressDue(now: number): boolean {
    return now - this.#lastProgressAt >= PROGRESS_MS;
  }

  /** Progress is part of a save that is about to be sent. */
  noteProgress(now: number): void {
    this.#lastProgressAt = now;
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
