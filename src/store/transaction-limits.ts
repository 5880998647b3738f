/** Checks transactions against the store's size limits before they are sent. */
import type { Guard, Write } from '@sumacstep/leader-election';
import type { Logger } from 'pino';
import { MAX_GUARDS_PER_WRITE, MAX_REMEMBERED_REJECTIONS } from './constants.js';
import { StoreRequestError } from './errors.js';

/** The largest value and transaction that the store takes, now and after announced changes. */
export interface StoreSizeLimits {
  readonly valueBytes: number;
  /** keys that one transaction writes */
  readonly transactionOps: number;
}

/** The key that a write changes. */
export const writtenKey = (write: Write): string => ('put' in write ? write.put : write.drop);

/** Fails transactions that the store would reject, and those that it has rejected before. */
export class TransactionLimits {
  /** keys and sizes of transactions that were rejected */
  readonly #rejected = new Set<string>();

  constructor(
    private readonly limits: StoreSizeLimits,
    private readonly log: Logger,
  ) {}

  /** Throws an `invalid` error, or returns the keys and sizes, by which `reject` remembers them. */
  check(guards: readonly Guard[], writes: readonly Write[]): string {
    const { valueBytes, transactionOps } = this.limits;
    const sizes = writes.map((write) => ('put' in write ? JSON.stringify(write.value).length : 0));
    const shape = writes.map((write, i) => `${writtenKey(write)} ${sizes[i]}`).join();
    if (this.#rejected.has(shape)) {
      const message = `transaction not sent: the store rejected the same before (${shape})`;
      throw new StoreRequestError('invalid', message);
    }
    const large = writes.find((_, i) => sizes[i]! > valueBytes);
    const many =
      writes.length > transactionOps || guards.length > transactionOps * MAX_GUARDS_PER_WRITE;
    if (large === undefined && !many) return shape;
    const key = large === undefined ? null : writtenKey(large);
    return this.reject(shape, { key, writes: writes.length, guards: guards.length });
  }

  /** Remembers a transaction as invalid, logs why, and throws. */
  reject(shape: string, reason: object): never {
    if (this.#rejected.size >= MAX_REMEMBERED_REJECTIONS) this.#rejected.clear();
    this.#rejected.add(shape);
    this.log.error(reason, 'transaction rejected');
    const message = `transaction rejected, not to be repeated: ${JSON.stringify(reason)}`;
    throw new StoreRequestError('invalid', message);
  }
}
