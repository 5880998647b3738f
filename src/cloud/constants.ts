/** Timing and limits of calls to the cloud. */

/** Delay before the machine types are read again after a failure. */
export const MACHINE_TYPES_RETRY_MS = 1000;

/** Number of machines in one page of the cloud's list; the protocol's maximum. */
export const CLOUD_LIST_PAGE_SIZE = 500;

/** Maximum number of connections to the cloud. */
export const MAX_CLOUD_SOCKETS = 6;

/** Timeout of a call to the cloud. A rental request that takes longer is repeated under the same name. */
export const CLOUD_CALL_TIMEOUT_MS = 4000;

/** Fraction of a node's rate limit that listing machines may use. */
export const LIST_RATE_SHARE = 0.35;

/** Minimum interval at which a call that waits for a rate limit token checks again. */
export const TOKEN_POLL_MS = 50;

/** Size of a burst, in seconds of the rate limit; the cloud itself allows bursts of two seconds. */
export const CLOUD_BURST_S = 1.5;

/** Interval at which the machine types are read again, because prices change. */
export const MACHINE_TYPES_REFRESH_MS = 60_000;
