/** What the package needs of a key-value store with compare-and-swap transactions and leases. */

/** A condition of a transaction: the key has this revision; 0: the key does not exist. */
export interface Guard {
  readonly key: string;
  readonly revision: number;
}

/** A change of one key. A value with a lease is deleted when the lease ends. */
export type Write =
  | { readonly put: string; readonly value: unknown; readonly lease?: number }
  | { readonly drop: string };

/** The outcome of a transaction that the store has answered. */
export type CompareAndSwapResult =
  | { readonly ok: true; readonly epoch: number }
  /** nothing was written: these keys had another revision */
  | { readonly ok: false; readonly failed: readonly string[] };

/** A value, and the revision of its last change. */
export interface Versioned<T> {
  readonly value: T;
  readonly revision: number;
}

/** The priority of a transaction: leases and leadership come before everything else. */
export type TransactionPriority = 'lease' | 'normal' | 'background';

/**
 * Atomic transactions of a store whose priorities are of type `U`. A call rejects with `StoreUnavailableError` if
 * the store refused it or its outcome is unknown.
 */
export interface CompareAndSwapStore<U = TransactionPriority> {
  compareAndSwap(
    priority: U,
    guards: readonly Guard[],
    writes: readonly Write[],
  ): Promise<CompareAndSwapResult>;
}

/** Leases of the store, and keys that are attached to them. */
export interface LeaseStore {
  /** resolves with a new lease's id */
  grant(ttlMs: number): Promise<number>;
  /** resolves with false if the lease has ended */
  renew(id: number): Promise<boolean>;
  /** writes a key that is attached to the lease; resolves with the epoch, or null if the lease has ended */
  register(key: string, value: unknown, id: number): Promise<number | null>;
}

/**
 * The store refused a call, or its answer did not arrive. Whether the call was carried out is unknown, unless a
 * subclass tells; it may be repeated. `cause`, an option of the constructor,
 * is the error of the transport, if there is one.
 */
export class StoreUnavailableError extends Error {}
