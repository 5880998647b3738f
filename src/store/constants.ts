/** Timing and limits of the calls to the key-value store. */

/** final states kept in memory; at about 100 bytes each this stays below 3 MB. */
export const MAX_FINAL_STATES_IN_MEMORY = 20_000;

/** transactions remembered as refused for good, by keys and sizes; there should be none at all. */
export const MAX_REMEMBERED_REJECTIONS = 200;

/** conditions of a transaction for each put or delete that it may have; the protocol's limit. */
export const MAX_GUARDS_PER_WRITE = 4;

/** tokens; a node with a small share may still send a transaction of this size at once. */
export const MIN_STORE_BURST_TOKENS = 4;

/** ms; a read of the feed that takes longer is held: nothing changes. Usual answers take 10 ms. */
export const HELD_WATCH_MS = 40;

/** ms; polls of the same job that come within this time share a read. */
export const READ_BATCH_WINDOW_MS = 4;

/** calls; a single one may be lost on the way without the service being out. */
export const CONSECUTIVE_FAILURES_LIMIT = 2;

/** connections; a node has few calls in flight at a time. */
export const MAX_STORE_SOCKETS = 12;

/** ms; between tries while there is no lease, or after a slow renewal. */
export const LEASE_RETRY_MS = 300;

/** ms; usual answers take under 10 ms, slow ones a few hundred: later than this is "no answer". */
export const STORE_CALL_TIMEOUT_MS = 2000;

/** ms; a node's lease. Shorter means quicker takeover, longer survives slow renewals. */
export const LEASE_TTL_MS = 6000;

/** ms; three renewals may fail before the lease is lost. */
export const LEASE_RENEW_MS = 1500;

/** ms; taken off a lease's end, for the time between checking authority and acting on it. */
export const LEASE_MARGIN_MS = 500;

/** ms; how long a watch blocks. A held watch shows an outage only by its end, so not for long. */
export const WATCH_BLOCK_MS = 10_000;

/** items in one page of a listing; the service returns no more than 1,000. */
export const LIST_PAGE_SIZE = 500;

/** ms; pause after a failed call in the feeds, so that an outage causes no storm of retries. */
export const STORE_RETRY_MS = 400;

/** requests waiting for a token; beyond it a call fails at once instead of growing the queue. */
export const STORE_QUEUE_LIMIT = 500;

/** s of a limit that may be spent at once; the service itself allows one second's worth. */
export const STORE_BURST_S = 0.8;

/** ms; calls stop for this long after a 429, since somebody has spent the shared budget. */
export const RATE_LIMITED_BACKOFF_MS = 300;
