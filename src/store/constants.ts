/** Timing and limits of the calls to the key-value store. */

/** Final states of jobs that the cache keeps, each of about 100 bytes. */
export const MAX_FINAL_STATES_IN_MEMORY = 20_000;

/** Rejected transactions that a node remembers by their keys and sizes; normally there are none. */
export const MAX_REMEMBERED_REJECTIONS = 200;

/** Guards that a transaction may have for each write that it may have; the protocol's limit. */
export const MAX_GUARDS_PER_WRITE = 4;

/**
 * Minimum capacity of a rate limit's bucket, in tokens. A node with a small share of the limit can still send a
 * transaction of this size at once.
 */
export const MIN_STORE_BURST_TOKENS = 4;

/**
 * Age in ms from which a read of the watch counts as blocked because nothing changes; then a probe finds out the
 * store's present revision.
 */
export const WATCH_PROBE_DELAY_MS = 40;

/** Time in ms for which a read is delayed, so that requests for the same key can share it. */
export const READ_BATCH_WINDOW_MS = 4;

/** Consecutive failed calls from which the store counts as unavailable. */
export const CONSECUTIVE_FAILURES_LIMIT = 2;

/** Connections for all calls except watches. */
export const MAX_STORE_SOCKETS = 12;

/** Delay in ms between attempts while there is no lease, or after a slow renewal. */
export const LEASE_RETRY_MS = 300;

/** Timeout of a call in ms; a later answer is ignored. */
export const STORE_CALL_TIMEOUT_MS = 2000;

/** Time to live of a node's lease in ms. A shorter one fails over faster, a longer one survives slow renewals. */
export const LEASE_TTL_MS = 6000;

/** Interval of lease renewals in ms; three renewals may fail before the lease is lost. */
export const LEASE_RENEW_MS = 1500;

/** Time in ms by which a lease is taken to end early, to cover the time between checking authority and acting on it. */
export const LEASE_MARGIN_MS = 500;

/** Time in ms for which a read of the watch blocks. A blocked read reveals an outage only when it ends. */
export const WATCH_BLOCK_MS = 10_000;

/** Keys in one page of a listing; the store returns no more than 1,000. */
export const LIST_PAGE_SIZE = 500;

/** Delay in ms after a failed call before the next attempt, so that an outage causes no burst of retries. */
export const STORE_RETRY_MS = 400;

/** Calls that may wait for a token; further calls fail at once. */
export const STORE_QUEUE_LIMIT = 500;

/** Seconds' worth of a rate limit that may be spent at once; the store itself allows one second's worth. */
export const STORE_BURST_S = 0.8;

/** Time in ms for which calls pause after a 429, since the budget shared with other nodes is spent. */
export const RATE_LIMITED_BACKOFF_MS = 300;

/** Connections for watches; a watch that ends late may overlap with the next one. */
export const MAX_WATCH_SOCKETS = 2;
