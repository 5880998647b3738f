/** The interfaces of a key-value store with compare-and-swap transactions and leases, as the package requires it. */

/** A condition of a transaction: the key must have this revision; 0: the key must not exist. */
export interface Guard {
  readonly key: string;
  readonly revision: number;
}

/** A write or deletion of one key. A value that is attached to a lease is deleted when the lease ends. */
export type Write =
  | { readonly put: string; readonly value: unknown; readonly lease?: number }
  | { readonly drop: string };

/** The store's answer to a transaction. */
export type CompareAndSwapResult =
  | { readonly ok: true; readonly epoch: number }
  /** nothing was written, because the keys in `failed` had other revisions */
  | { readonly ok: false; readonly failed: readonly string[] };

/** A value and the revision of its last change. */
export interface Versioned<T> {
  readonly value: T;
  readonly revision: number;
}

/** The priority of a transaction. Transactions for leases and leadership have the highest: `lease`. */
export type TransactionPriority = 'lease' | 'normal' | 'background';

/**
 * A store with atomic transactions, whose priorities have the type `Priority`. A call rejects with
 * `StoreUnavailableError` if the store refused the call or its outcome is unknown.
 */
export interface CompareAndSwapStore<Priority = TransactionPriority> {
  compareAndSwap(
    priority: Priority,
    guards: readonly Guard[],
    writes: readonly Write[],
  ): Promise<CompareAndSwapResult>;
}

/** A store with leases, and with keys that are attached to them. */
export interface LeaseStore {
  /** creates a lease; resolves with its id */
  grant(ttlMs: number): Promise<number>;
  /** renews a lease; resolves with false if it has ended */
  renew(id: number): Promise<boolean>;
  /** writes a key that is attached to a lease; resolves with the epoch, or with null if the lease has ended */
  register(key: string, value: unknown, id: number): Promise<number | null>;
}

/**
 * Reports that the store refused a call or that its answer did not arrive. Unless a subclass tells, it is unknown
 * whether the call was executed; the call may be repeated. The constructor's option `cause` is the error of the
 * transport, if there is one.
 */
export class StoreUnavailableError extends Error {}
