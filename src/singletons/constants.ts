/** Timing of the singleton controllers. */

/** ms; a duty without a holder is left this long to each candidate before the next one tries. */
export const CANDIDATE_DELAY_MS = 1500;

/** ms; between two looks at what may be cleared: nobody waits for it. */
export const GARBAGE_COLLECTION_INTERVAL_MS = 10_000;

/** ms; observed time is written this often. A holder that ends sooner has observed nothing, so not rarely. */
export const RETENTION_WRITE_INTERVAL_MS = 600_000;
