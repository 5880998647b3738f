/** Timing and limits of the node's process. */

/** Time within which a request of a worker or user has to be whole, which is as long as a user waits for an answer. */
export const REQUEST_TIMEOUT_MS = 5000;

/** Interval at which connections are checked for `REQUEST_TIMEOUT_MS`. */
export const REQUEST_CHECK_INTERVAL_MS = 1000;

/** Requests whose body is being received; beyond this the oldest are closed. They buffer 64 KiB each at most. */
export const MAX_INCOMPLETE_BODIES = 128;

/** A connection whose request is not whole is not closed before this age for want of sockets. */
export const MIN_INCOMPLETE_AGE_MS = 250;

/** Share of the allowed inbound connections above which those are closed whose request is not whole. */
export const INCOMPLETE_CLOSE_THRESHOLD = 0.9;

/**
 * Share of the process's sockets that direct commands may use at a time: after a failover of every shard all workers
 * are probed, and sockets must remain for heartbeats and users.
 */
export const DIRECT_COMMAND_SOCKET_SHARE = 0.08;

/** Share of the allowed inbound connections above which every response closes its connection. */
export const CLOSE_AFTER_RESPONSE_THRESHOLD = 0.7;

/** Sockets reserved for each peer: one for each direction, and as many that are still closing. */
export const SOCKETS_PER_PEER = 4;

/** Sockets reserved for listeners, health checks and watches. */
export const RESERVED_SOCKETS = 24;

/** Idle timeout of an inbound connection, in worker lease times. */
export const IDLE_TIMEOUT_LEASES = 2;

/** Share of a node's store requests that the watch may use. */
export const WATCH_REQUEST_SHARE = 0.3;

/** Shortest pause between two reads of the watch. */
export const MIN_WATCH_PAUSE_MS = 400;

/** The store counts as reachable for this long after its last successful response. */
export const STORE_REACHABLE_MS = 4000;

/**
 * A node that cannot reach the store, although a peer can, stays ready for this long: nodes notice the start and
 * the end of an outage at slightly different times.
 */
export const STORE_LOST_GRACE_MS = 3000;

/** A node that can reach neither the store nor any peer stays ready for this long. By then its lease is over. */
export const ISOLATED_GRACE_MS = 8000;

/** A heartbeat from a worker of another node's shard is reported to the peers for this long. */
export const OBSERVED_WORKER_TTL_MS = 6000;
