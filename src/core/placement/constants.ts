/** Numbers of the placement of tasks. */

/** ms; a job none of whose tasks has begun by then goes before newer ones, whatever their aims. */
export const BEGIN_MS = 90_000;

/** s; a job without aims or deadline comes after those of its rank that have one this soon. */
export const NO_AIM_S = 600;

/** Volumes nearer than this are equal: the sums differ in the last digits only. */
export const EQUAL_VOLUME = 1e-9;

/** unused volume by which a machine may lack the demand's and still fit it: rounding, of every resource */
export const VOLUME_SLACK = 1e-3;

/** machines in a block of the order by volume: a block is passed over at the cost of one look */
export const ORDER_BLOCK = 32;
