/** Intervals and limits of renting machines. */

/** interval between two capacity plans */
export const CAPACITY_PLAN_INTERVAL_MS = 2000;

/** delay before a rental that is still recorded after a request is requested again */
export const RENTAL_RETRY_MS = 1000;

/** time for which a kind of machine is not requested again after the cloud had no capacity for it */
export const NO_CAPACITY_BACKOFF_MS = 15_000;

/** largest number of machines in one rental; a limit of the cloud's protocol */
export const MAX_RENTAL_BATCH = 50;
