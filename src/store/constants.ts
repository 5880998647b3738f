/** Timing and limits of the calls to the key-value store. */

/** final states of about 100 bytes each. */
export const MAX_FINAL_STATES_IN_MEMORY = 20_000;

/** transactions remembered as rejected, by keys and sizes; normally there are none. */
export const MAX_REMEMBERED_REJECTIONS = 200;

/** guards of a transaction for each write that it may have; the protocol's limit. */
export const MAX_GUARDS_PER_WRITE = 4;

/** tokens; a node with a small share may still send a transaction of this size at once. */
export const MIN_STORE_BURST_TOKENS = 4;

/** ms; a read of the watch that takes longer is held, since nothing changes. */
export const WATCH_PROBE_DELAY_MS = 40;

/** ms; requests for the same key that come within this time share a read. */
export const READ_BATCH_WINDOW_MS = 4;

/** failed calls in a row from which the store counts as unavailable. */
export const CONSECUTIVE_FAILURES_LIMIT = 2;

/** connections for all calls but watches. */
export const MAX_STORE_SOCKETS = 12;

/** ms; between tries while there is no lease, or after a slow renewal. */
export const LEASE_RETRY_MS = 300;

/** ms; a later answer counts as none. */
export const STORE_CALL_TIMEOUT_MS = 2000;

/** ms; time to live of a node's lease. Shorter means faster failover, longer survives slow renewals. */
export const LEASE_TTL_MS = 6000;

/** ms; three renewals may fail before the lease is lost. */
export const LEASE_RENEW_MS = 1500;

/** ms; taken off a lease's end, for the time between checking authority and acting on it. */
export const LEASE_MARGIN_MS = 500;

/** ms; how long a watch blocks. A blocked watch reveals an outage only when it ends. */
export const WATCH_BLOCK_MS = 10_000;

/** keys in one page of a listing; the store returns no more than 1,000. */
export const LIST_PAGE_SIZE = 500;

/** ms; between tries after a failed call, so that an outage causes no burst of retries. */
export const STORE_RETRY_MS = 400;

/** calls waiting for a token; beyond it a call fails at once. */
export const STORE_QUEUE_LIMIT = 500;

/** s of a rate limit that may be spent at once; the store itself allows one second's worth. */
export const STORE_BURST_S = 0.8;

/** ms; calls pause for this long after a 429, since the budget shared with other nodes is spent. */
export const RATE_LIMITED_BACKOFF_MS = 300;

/** connections for watches; a late one may overlap with the next. */
export const MAX_WATCH_SOCKETS = 2;
