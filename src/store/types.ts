/**
 * What the key-value store returns. It counts its transactions: `revision` of a key is the count at the
 * key's last change, `storeRevision` of an answer is the count that the store had reached (`Epoch` in the
 * protocol, `epoch` in the results of transactions). Both are of one sequence and may be compared.
 */

/** A key and its value. */
export interface Entry {
  readonly key: string;
  readonly value: unknown;
  readonly revision: number;
  /** the lease that the key is attached to, if the answer says so */
  readonly lease?: number | null;
}

/** One page of a listing, in the order of the keys. */
export interface Page {
  readonly entries: readonly Entry[];
  readonly more: boolean;
  readonly storeRevision: number;
}

/** The result of reading one key. */
export type ReadResult = Entry | { readonly missing: true; readonly storeRevision: number };

/** A change of one key. */
export interface Change {
  readonly key: string;
  readonly revision: number;
  /** undefined: removed */
  readonly value: unknown;
  readonly removed: boolean;
}

/** The changes up to a revision. */
export interface Changes {
  readonly storeRevision: number;
  readonly changes: readonly Change[];
}
