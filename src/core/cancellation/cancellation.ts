/** A confirmed cancellation, as the store holds it and as the nodes gossip it. */
export interface Cancellation {
  readonly uid: string;
  readonly tasks: number;
  readonly done: number;
  /** epoch of the transaction that confirmed it */
  readonly epoch: number;
}
