/** Timing and limits of worker leases, commands and migrations. */

/** Attempt numbers are term * this + counter, which stays below 2^53 for terms under a billion. */
export const ATTEMPTS_PER_TERM = 2 ** 23;

/**
 * A placement whose start has not been sent for this long is released. A worker drops an answer that comes later than
 * 4 s, and the shard answers within milliseconds.
 */
export const UNDISPATCHED_START_TIMEOUT_MS = 8000;

/** Added to a worker's lease before the tasks on the worker count as ended. */
export const WORKER_LEASE_MARGIN_MS = 1000;

/** A stop is repeated without grace if its task still runs this long after the end of the grace period. */
export const STOP_OVERDUE_MARGIN_S = 6;

/** A worker lists completed tasks until it is told to forget them, which it is after this time at the latest. */
export const FORGET_DELAY_MAX_MS = 20_000;

/** A worker that lists this many completed tasks is told to forget them at once, which keeps heartbeats short. */
export const FORGET_BATCH_LIMIT = 16;

/** After this many consecutive commands without effect a machine counts as losing commands. */
export const LOST_COMMANDS_LIMIT = 2;

/**
 * A machine that refused a start for lack of capacity gets no starts for this long, since the shard's view of its free
 * capacity lags behind.
 */
export const NO_ROOM_BACKOFF_MS = 3000;

/** After a migration of tasks of a job, successful or not, the job migrates no tasks for this long. */
export const MIGRATION_COOLDOWN_MS = 5000;

/** Most commands in one message to a worker, which the protocol limits to 64 KiB; a command takes up to 120 bytes. */
export const MAX_COMMANDS_PER_MESSAGE = 500;

/**
 * Direct commands after which a round sends no further message, so that it does not delay the renewal of the node's
 * lease. The rest follows in the next round or with the answers to heartbeats.
 */
export const MAX_DIRECT_COMMANDS_PER_ROUND = 5000;

/**
 * Most direct starts of one machine whose outcome is unknown. Their attempts may not be forgotten, so they would fill
 * the worker's task list if many answers were lost. Further starts wait for the answer to a heartbeat.
 */
export const MAX_UNSETTLED_DIRECT_STARTS = 100;

/** A direct start without an outcome for this long has no answer; longer than a direct command waits for one. */
export const DIRECT_START_OUTCOME_TIMEOUT_MS = 2000;
