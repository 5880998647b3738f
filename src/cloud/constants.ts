/** Timing and limits of the calls to the cloud. */

/** ms; between tries to read the machine types, without which nothing can be decided. */
export const TYPES_RETRY_MS = 1000;

/** machines in one page of the cloud's list; the protocol's limit. */
export const CLOUD_LIST_PAGE_SIZE = 500;

/** connections to the cloud; its limit is a few calls in a second. */
export const MAX_CLOUD_SOCKETS = 6;

/** ms; a rental call that takes longer is repeated under the same name. */
export const CLOUD_CALL_TIMEOUT_MS = 4000;

/** share of a node's calls to the cloud that reading the list may take. */
export const LIST_RATE_SHARE = 0.35;

/** ms; a call that lets others go first looks again after this. */
export const TOKEN_POLL_MS = 50;

/** s of the cloud's limit that may be spent at once; the cloud allows two seconds' worth. */
export const CLOUD_BURST_S = 1.5;

/** ms; machine types (prices) are read again this often. */
export const TYPES_REFRESH_MS = 60_000;
