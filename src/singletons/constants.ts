/** Timing of the singleton controllers. */

/** ms that each candidate for a vacant role waits for the one before it. */
export const CANDIDATE_DELAY_MS = 1500;

/** ms between two rounds of garbage collection. */
export const GARBAGE_COLLECTION_INTERVAL_MS = 10_000;

/** ms between two writes of the retention clock. A leadership that ends sooner adds nothing to it. */
export const RETENTION_WRITE_INTERVAL_MS = 600_000;

/** Intervals shrink to this share of the retention time if that is shorter. */
export const RETENTION_INTERVAL_SHARE = 1 / 16;
