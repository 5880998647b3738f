/** Limits of the users' interface. */

/** A list of machine types up to this size leaves enough of a stored value for the rest of the job. */
export const MAX_TYPE_LIST_BYTES = 2048;

/** Requests that are served at a time; more are refused instead of queued. */
export const MAX_IN_FLIGHT_REQUESTS = 200;

/** A submission whose write is expected to be queued for longer than this is refused at once. */
export const MAX_SUBMISSION_WAIT_MS = 900;

/** Time within which a deferred submission is expected to be repeated. */
export const DEFERRED_SUBMISSION_TTL_MS = 4000;

/** Bounds of `Retry-After`, and the largest random addition, which spreads retries over time. */
export const RETRY_AFTER_S = { min: 1, max: 15, spread: 3 } as const;

/** Attempts to write an acceptance that conflicts with garbage collection of final states. */
export const MAX_ACCEPTANCE_ATTEMPTS = 3;

/** Attempts to cancel a job whose owner keeps writing its record. */
export const MAX_CANCELLATION_ATTEMPTS = 4;

/**
 * Allocation ratio that routing adds to a shard's load for each range of the job that it sends there, since the
 * announced load does not include the range yet.
 */
export const LOAD_PER_RANGE = 0.05;
