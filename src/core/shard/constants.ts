/** Timing of worker leases, commands and migrations. */

/** attempt numbers are term * this + counter: below 2^53 for terms under a billion. */
export const ATTEMPTS_PER_TERM = 2 ** 23;

/** ms; a worker drops an answer that comes later than 4 s, and ours are made within milliseconds. */
export const UNDISPATCHED_START_TIMEOUT_MS = 8000;

/** ms; added to a worker's lease before its tasks count as gone. */
export const WORKER_LEASE_MARGIN_MS = 1000;

/** s; a stop whose task still runs after its grace and this is repeated without grace. */
export const STOP_OVERDUE_MARGIN_S = 6;

/** ms; a worker is told to forget completed tasks after this at the latest, and lists them until then. */
export const FORGET_DELAY_MAX_MS = 20_000;

/** tasks; a worker that lists so many completed ones is told to forget them at once: heartbeats stay short. */
export const FORGET_BATCH_LIMIT = 16;

/** commands in a row without effect after which a machine counts as one that loses commands. */
export const LOST_COMMANDS_LIMIT = 2;

/** ms; a machine that refused a start for want of capacity gets none for this long: our state lags. */
export const NO_ROOM_BACKOFF_MS = 3000;

/** ms; tasks that passed to another shard, or failed to, stay at least this long before they pass again. */
export const MIGRATION_COOLDOWN_MS = 5000;
