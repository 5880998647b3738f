/**
 * A shard that this node owns under one term, and the progress of its transfer, saves and probes. It is built once per
 * term, and dropped when the store shows another owner or a higher term.
 */
import type { Authorization } from '@sumacstep/leader-election';
import type { Shard } from '../core/shard/shard.js';
import { PROGRESS_SAVE_INTERVAL_MS, COMPLETION_SAVE_INTERVAL_MS } from './completions/constants.js';

/**
 * The state of an owned shard. `transferring` means that a transaction that names another owner has been sent and its
 * outcome is unknown, so this node must not act for the shard.
 */
export type OwnedShardState = 'active' | 'transferring';

/** An owned shard; tracks whether a transfer, a save of completions or a probe of a worker is in progress. */
export class OwnedShard {
  #state: OwnedShardState = 'active';
  #saving = false;
  #lastSaveAt: number;
  #lastProgressSaveAt: number;
  #fullSyncRequested = true;
  /** machines with a probe in progress or in the pause after one */
  readonly #probing = new Set<string>();

  constructor(
    readonly shard: Shard,
    /** authorizes writes and calls for the shard under its term */
    readonly authorization: Authorization,
    /** monotonic ms */
    createdAt: number,
  ) {
    this.#lastSaveAt = createdAt;
    this.#lastProgressSaveAt = createdAt;
  }

  get state(): OwnedShardState {
    return this.#state;
  }

  /** Whether no transfer is in progress. This does not prove that this node owns the shard; `Authority` does. */
  get isActive(): boolean {
    return this.#state === 'active';
  }

  /** Stops this node from acting for the shard. Called before a transaction that names another owner is sent. */
  suspend(): void {
    this.#state = 'transferring';
  }

  /** Lets this node act for the shard again, once the transfer is known to have failed. */
  resume(): void {
    this.#state = 'active';
  }

  /** Requests a full synchronization from the cache, because the shard missed changes while it was not active. */
  requestFullSync(): void {
    this.#fullSyncRequested = true;
  }

  /** Returns whether a full synchronization is requested, and clears the request: the caller has to carry it out. */
  consumeFullSyncRequest(): boolean {
    const needed = this.#fullSyncRequested;
    this.#fullSyncRequested = false;
    return needed;
  }

  /**
   * Returns whether completions may be saved now: no save is in progress, and the last one ended at least
   * `COMPLETION_SAVE_INTERVAL_MS` ago.
   */
  isSaveDue(now: number): boolean {
    return !this.#saving && now - this.#lastSaveAt >= COMPLETION_SAVE_INTERVAL_MS;
  }

  /** Marks a save as in progress. */
  beginSave(): void {
    this.#saving = true;
  }

  /** Marks the save as ended, whether it succeeded or failed. */
  endSave(now: number): void {
    this.#saving = false;
    this.#lastSaveAt = now;
  }

  /** Returns whether completions that end neither a job nor a range are due to be saved. */
  isProgressSaveDue(now: number): boolean {
    return now - this.#lastProgressSaveAt >= PROGRESS_SAVE_INTERVAL_MS;
  }

  /** Records that a save that is about to be sent contains such completions. */
  recordProgressSave(now: number): void {
    this.#lastProgressSaveAt = now;
  }

  /** Starts a probe of a worker. Returns false if one is in progress or has ended just now. */
  beginProbe(machine: string): boolean {
    if (this.#probing.has(machine)) return false;
    this.#probing.add(machine);
    return true;
  }

  /** Allows the next probe of the worker; called after the pause that follows a probe. */
  endProbe(machine: string): void {
    this.#probing.delete(machine);
  }
}
