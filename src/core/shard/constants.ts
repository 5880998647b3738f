/** Timing of worker leases and commands. */

/** attempt numbers are term * this + counter: below 2^53 for terms under a billion. */
export const ATTEMPTS_PER_TERM = 2 ** 23;

/** ms; a worker drops an answer that comes later than 4 s; ours are made within milliseconds. */
export const UNDISPATCHED_START_TIMEOUT_MS = 8000;

/** ms; added to a worker's lease before its tasks count as gone. */
export const WORKER_LEASE_MARGIN_MS = 1000;

/** s; a stop whose task still runs after its grace and this is repeated with no grace. */
export const STOP_OVERDUE_MARGIN_S = 6;

/** ms; a worker is told to forget completed tasks after this at the latest; it lists them until then. */
export const FORGET_DELAY_MAX_MS = 20_000;

/** tasks; with so many completed ones in its list a worker is told at once: reports stay short. */
export const FORGET_BATCH_LIMIT = 16;

/** orders in a row without effect after which a machine counts as one that hears nothing. */
export const LOST_COMMANDS_LIMIT = 2;

/** ms; a machine that refused a start as full is left alone for this long: our state lag. */
export const NO_ROOM_BACKOFF_MS = 3000;

/** ms; a range that passed stays at least this long before it passes again. */
export const MIGRATION_COOLDOWN_MS = 5000;
