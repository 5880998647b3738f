/** Limits of the users' interface. */

/** bytes; a list of machine types up to this size leaves room for the rest of the stored job. */
export const MAX_TYPE_LIST_BYTES = 2048;

/** requests served at once; more are refused, never queued. */
export const MAX_IN_FLIGHT_REQUESTS = 200;

/** ms; a submission whose write would be queued for longer is refused at once. */
export const MAX_SUBMISSION_WAIT_MS = 900;

/** ms; how long a deferred submission is expected to be repeated. */
export const DEFERRED_SUBMISSION_TTL_MS = 4000;

/** s; bounds of `Retry-After`, and the random spread that keeps retries apart. */
export const RETRY_AFTER_S = { min: 1, max: 15, spread: 3 } as const;

/** attempts to write an acceptance that met garbage collection of final states. */
export const MAX_ACCEPTANCE_ATTEMPTS = 3;

/** attempts to cancel a job that its owner keeps writing. */
export const MAX_CANCELLATION_ATTEMPTS = 4;

/** allocation ratio that a routed range adds to its shard until the shard's own figure arrives. */
export const LOAD_PER_RANGE = 0.05;
