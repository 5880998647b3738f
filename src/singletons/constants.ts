/** Timing of the singleton controllers. */

/** Delay by which each candidate for a vacant role starts after the candidate before it. */
export const CANDIDATE_DELAY_MS = 1500;

/** Minimum interval between the starts of two rounds of garbage collection. */
export const GARBAGE_COLLECTION_INTERVAL_MS = 10_000;

/**
 * Interval between two writes of the retention clock. A leadership that ends sooner adds nothing to the clock.
 */
export const RETENTION_WRITE_INTERVAL_MS = 600_000;

/** Upper limit of both intervals above, as a fraction of the retention time. */
export const RETENTION_INTERVAL_SHARE = 1 / 16;
