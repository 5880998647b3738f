/** Timing and limits of renting machines. */

/** ms; between two capacity plans */
export const CAPACITY_PLAN_INTERVAL_MS = 2000;

/** ms; between repeats of a rental without an answer */
export const RENTAL_RETRY_MS = 1000;

/** ms; after "no capacity" the same kind of machine is not asked for again for this long */
export const NO_CAPACITY_BACKOFF_MS = 15_000;

/** machines; the protocol's limit for one rental */
export const MAX_RENTAL_BATCH = 50;
