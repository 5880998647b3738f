/** Constants of the placement of tasks. */

/**
 * ms after acceptance by which the first task of a job is due at the latest, whatever the objectives of its class say:
 * from then on the job is placed before newer jobs of the same rank.
 */
export const FIRST_TASK_DUE_MS = 90_000;

/**
 * s after acceptance by which the tasks of a job without objectives or deadline are due: the job is placed after jobs
 * of its rank that are due earlier.
 */
export const DEFAULT_START_OBJECTIVE_S = 600;

/** Unused volumes that differ by no more than this are equal: sums of shares are inexact in their last digits. */
export const EQUAL_VOLUME_TOLERANCE = 1e-9;

/**
 * Difference by which the unused volume of a machine may be smaller than the volume of a demand that fits it, since the
 * rounding tolerance applies to every resource.
 */
export const FIT_VOLUME_TOLERANCE = 1e-3;

/** Machines in a block of the index by unused volume; a block without enough capacity is skipped after one check. */
export const INDEX_BLOCK_SIZE = 32;

/**
 * Tasks after whose placement a pass ends, apart from the rest of a gang. Between two passes the node renews its lease
 * and answers workers, users and peers.
 */
export const MAX_PLACEMENTS_PER_PASS = 5000;
