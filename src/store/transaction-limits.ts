/** Checks transactions against the store's size limits before they are sent. */
import type { Guard, Write } from '@sumacstep/leader-election';
import type { Logger } from 'pino';
import { MAX_GUARDS_PER_WRITE, MAX_REMEMBERED_REJECTIONS } from './constants.js';
import { StoreRequestError } from './errors.js';

/** Size limits of the store: the smaller ones of the present limits and those announced for later. */
export interface StoreSizeLimits {
  /** bytes of one value */
  readonly valueBytes: number;
  /** keys that one transaction may write */
  readonly transactionOps: number;
}

/** Returns the key that a write changes. */
export const writtenKey = (write: Write): string => ('put' in write ? write.put : write.drop);

/** Refuses transactions that exceed the store's limits, and those that were rejected before. */
export class TransactionLimits {
  /** signatures (keys and value sizes) of rejected transactions */
  readonly #rejected = new Set<string>();

  constructor(
    private readonly limits: StoreSizeLimits,
    private readonly log: Logger,
  ) {}

  /**
   * Returns the transaction's signature: its keys and the sizes of their values, by which `reject` remembers it.
   * Throws an `invalid` error if the transaction exceeds a limit or if one of the same signature was rejected.
   */
  check(guards: readonly Guard[], writes: readonly Write[]): string {
    const { valueBytes, transactionOps } = this.limits;
    const sizes = writes.map((write) => ('put' in write ? JSON.stringify(write.value).length : 0));
    const signature = writes.map((write, i) => `${writtenKey(write)} ${sizes[i]}`).join();
    if (this.#rejected.has(signature)) {
      const message = `transaction not sent: one with the same keys and sizes was rejected (${signature})`;
      throw new StoreRequestError('invalid', message);
    }
    const oversizedWrite = writes.find((_, i) => sizes[i]! > valueBytes);
    const tooManyOperations =
      writes.length > transactionOps || guards.length > transactionOps * MAX_GUARDS_PER_WRITE;
    if (oversizedWrite === undefined && !tooManyOperations) return signature;
    const key = oversizedWrite === undefined ? null : writtenKey(oversizedWrite);
    return this.reject(signature, { key, writes: writes.length, guards: guards.length });
  }

  /** Remembers a transaction as rejected, logs the reason and throws an `invalid` error. */
  reject(signature: string, reason: object): never {
    if (this.#rejected.size >= MAX_REMEMBERED_REJECTIONS) this.#rejected.clear();
    this.#rejected.add(signature);
    this.log.error(reason, 'transaction rejected');
    const message = `transaction rejected, not to be repeated: ${JSON.stringify(reason)}`;
    throw new StoreRequestError('invalid', message);
  }
}
