/** What the package needs of a key-value store with conditional transactions. */

/** A key has this revision; 0: the key does not exist. */
export interface Guard {
  readonly key: string;
  readonly revision: number;
}

/** A change of one key. A value with a lease goes when the lease ends. */
export type Write =
  | { readonly put: string; readonly value: unknown; readonly lease?: number }
  | { readonly drop: string };

/** What became of a transaction that was answered. */
export type CompareAndSwapResult =
  | { readonly ok: true; readonly epoch: number }
  /** nothing was written; these keys had another revision */
  | { readonly ok: false; readonly failed: readonly string[] };

/** A value, and the revision of its last change. */
export interface Versioned<T> {
  readonly value: T;
  readonly revision: number;
}

/** How soon a transaction is needed: leases and ownership come before everything else. */
export type Urgency = 'lease' | 'normal' | 'background';

/** Atomic transactions, of a store that tells urgent ones apart by `U`. Rejects with `StoreUnavailableError` if the outcome is a refusal or unknown. */
export interface CompareAndSwapStore<U = Urgency> {
  compareAndSwap(
    urgency: U,
    guards: readonly Guard[],
    writes: readonly Write[],
  ): Promise<CompareAndSwapResult>;
}

/** Leases of the store, and keys that are attached to them. */
export interface LeaseStore {
  /** a new lease's id */
  grant(ttlMs: number): Promise<number>;
  /** false if the lease has ended */
  renew(id: number): Promise<boolean>;
  /** writes a key that is attached to the lease; the epoch, or null if the lease has ended */
  register(key: string, value: unknown, id: number): Promise<number | null>;
}

/** The store did not carry a call out, or did not answer; it may be tried again. */
export class StoreUnavailableError extends Error {}
