/**
 * Results of calls to the key-value store. The store counts its transactions: the `revision` of a key is the
 * count at the key's last change, and the `storeRevision` of an answer is the count that the store had reached
 * (`Epoch` in the protocol, `epoch` in the results of transactions). Both belong to one sequence and can be
 * compared.
 */

/** A key and its value. */
export interface Entry {
  readonly key: string;
  readonly value: unknown;
  readonly revision: number;
  /** id of the lease that the key is attached to; null if there is none, undefined if the answer does not say */
  readonly lease?: number | null;
}

/** One page of a listing, in the order of the keys. */
export interface Page {
  readonly entries: readonly Entry[];
  /** whether further pages follow */
  readonly more: boolean;
  readonly storeRevision: number;
}

/** The result of reading one key. */
export type ReadResult = Entry | { readonly missing: true; readonly storeRevision: number };

/** A change of one key. */
export interface Change {
  readonly key: string;
  readonly revision: number;
  /** undefined if the key was removed */
  readonly value: unknown;
  readonly removed: boolean;
}

/** The changes up to and including `storeRevision`. */
export interface Changes {
  readonly storeRevision: number;
  readonly changes: readonly Change[];
}
