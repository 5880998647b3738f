/** Numbers of the placement of tasks. */

/** ms; a job none of whose tasks has begun by then goes before newer ones, whatever their aims. */
export const FIRST_TASK_DUE_MS = 90_000;

/** s; a job without aims or deadline comes after those of its rank that have one this soon. */
export const DEFAULT_START_OBJECTIVE_S = 600;

/** Volumes nearer than this are equal: the sums differ in the last digits only. */
export const EQUAL_VOLUME_TOLERANCE = 1e-9;

/** unused volume by which a machine may lack the demand's and still fit it: rounding, of every resource */
export const FIT_VOLUME_TOLERANCE = 1e-3;

/** machines in a block of the order by volume: a block is passed over at the cost of one look */
export const INDEX_BLOCK_SIZE = 32;
