/** Limits of the users' interface. */

/** bytes; type lists below this leave room for the rest of a value. */
export const TYPE_LIST_BYTES = 2048;

/** requests; more than these waiting on the state service are refused at once, never queued. */
export const USER_WAITING_LIMIT = 200;

/** ms; a submission whose write would wait longer than this is refused at once. */
export const SUBMIT_WAIT_MS = 900;

/** ms; a job that was told to come back is expected for this long: most are back by then. */
export const SENT_AWAY_MS = 4000;

/** s; what a refused user is told to wait: long enough that a wave of retries spreads out. */
export const RETRY_AFTER_S = { least: 1, most: 15, spread: 3 } as const;

/** tries; an acceptance that met a clearing of final states is written anew. */
export const ACCEPT_TRIES = 3;

/** tries; each conflict means that the job's owner has just written it. */
export const CANCEL_TRIES = 4;

/** booked share by which a range raises its shard, until the shard's own figure comes round. */
export const LOAD_PER_RANGE = 0.05;
