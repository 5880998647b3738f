/** The record of a confirmed cancellation. */

/** A confirmed cancellation of a job, in the form in which the store holds it and nodes send it to each other. */
export interface Cancellation {
  readonly uid: string;
  /** number of tasks of the job */
  readonly tasks: number;
  /** number of tasks that were done when the job was cancelled */
  readonly done: number;
  /** store epoch of the transaction that confirmed the cancellation */
  readonly epoch: number;
}
