/** Timing and limits of the calls to the cloud. */

/** ms; between tries to read the machine types. */
export const MACHINE_TYPES_RETRY_MS = 1000;

/** machines in one page of the cloud's list; the protocol's limit. */
export const CLOUD_LIST_PAGE_SIZE = 500;

/** connections to the cloud. */
export const MAX_CLOUD_SOCKETS = 6;

/** ms; a rental call that takes longer is repeated under the same name. */
export const CLOUD_CALL_TIMEOUT_MS = 4000;

/** share of a node's rate limit that listing machines may take. */
export const LIST_RATE_SHARE = 0.35;

/** ms; a call that waits for more important ones checks again after this. */
export const TOKEN_POLL_MS = 50;

/** s of the rate limit that may be spent at once; the cloud itself allows two seconds' worth. */
export const CLOUD_BURST_S = 1.5;

/** ms; machine types (prices) are read again this often. */
export const MACHINE_TYPES_REFRESH_MS = 60_000;
