/** One transaction of completions, and what it saves if it is committed. */
import type { Guard, Write } from '@sumacstep/leader-election';
import { MAX_BATCH_BYTES } from './constants.js';
import type { Transaction } from '../transaction.js';

/** Tasks of one job that count as saved once the batch is committed. */
export interface SavedTasks {
  readonly uid: string;
  readonly indexes: readonly number[];
}

/** Collects writes up to the limits of a transaction. */
export class CompletionBatch implements Transaction {
  readonly guards: Guard[] = [];
  readonly writes: Write[] = [];
  readonly savedTasks: SavedTasks[] = [];
  /** jobs that move to their final state */
  readonly finishedJobs: string[] = [];
  #bytes = 0;

  constructor(private readonly transactionOps: number) {}

  get isEmpty(): boolean {
    return this.writes.length === 0;
  }

  /** Whether so many further writes of so many bytes fit. */
  fits(writes: number, bytes: number): boolean {
    return (
      this.writes.length + writes <= this.transactionOps && this.#bytes + bytes <= MAX_BATCH_BYTES
    );
  }

  /** Counts bytes of writes that are added, or will be. */
  reserve(bytes: number): void {
    this.#bytes += bytes;
  }

  /** Adds a write of one key that is carried out only if the key is still at the revision. */
  add(write: Write, revision: number): void {
    this.writes.push(write);
    this.guards.push({ key: 'put' in write ? write.put : write.drop, revision });
  }
}
