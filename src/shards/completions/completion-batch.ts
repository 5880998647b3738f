/** A transaction that saves completions, and the tasks and jobs that it saves if it is committed. */
import type { Guard, Write } from '@sumacstep/leader-election';
import { MAX_BATCH_BYTES } from './constants.js';
import type { Transaction } from '../transaction.js';

/** Indexes of a job's tasks whose completion is saved once the batch is committed. */
export interface SavedTasks {
  readonly uid: string;
  readonly indexes: readonly number[];
}

/** Collects guarded writes up to the limits of one store transaction. */
export class CompletionBatch implements Transaction {
  readonly guards: Guard[] = [];
  readonly writes: Write[] = [];
  readonly savedTasks: SavedTasks[] = [];
  /** uids of the jobs that get their final state */
  readonly finishedJobs: string[] = [];
  #bytes = 0;

  constructor(private readonly transactionOps: number) {}

  get isEmpty(): boolean {
    return this.writes.length === 0;
  }

  /** Returns whether that many more writes, with that many bytes in total, fit into the transaction. */
  fits(writes: number, bytes: number): boolean {
    return (
      this.writes.length + writes <= this.transactionOps && this.#bytes + bytes <= MAX_BATCH_BYTES
    );
  }

  /** Counts the bytes of writes that have been or will be added. */
  reserve(bytes: number): void {
    this.#bytes += bytes;
  }

  /** Adds a write of one key, guarded by the key's revision. */
  add(write: Write, revision: number): void {
    this.writes.push(write);
    this.guards.push({ key: 'put' in write ? write.put : write.drop, revision });
  }
}
