/** Timing and limits of the node's process. */

/** ms; a request that takes longer is cut off */
export const REQUEST_TIMEOUT_MS = 10_000;

/** share of the process's sockets that direct commands may use at once: after a failover of every shard, probes of
 * all workers must leave sockets for heartbeats and users. */
export const DIRECT_COMMAND_SOCKET_SHARE = 0.08;

/** share of the inbound connections beyond which responses close their connection */
export const CLOSE_AFTER_RESPONSE_THRESHOLD = 0.7;

/** sockets for each peer: one in each direction, and as many that are still closing */
export const SOCKETS_PER_PEER = 4;

/** sockets for listeners, health checks and watches */
export const RESERVED_SOCKETS = 24;

/** worker leases; an inbound connection that was idle for longer is closed */
export const IDLE_TIMEOUT_LEASES = 2;

/** share of a node's store requests that the watch may use */
export const WATCH_REQUEST_SHARE = 0.3;

/** ms; shortest pause between two reads of the watch */
export const MIN_WATCH_PAUSE_MS = 400;

/** ms; the store counts as reachable for this long after an answer */
export const STORE_REACHABLE_MS = 4000;

/** ms; a node without the store stays ready for this long although a peer has it: at both ends of an outage the
 * nodes notice it a little apart. */
export const STORE_LOST_GRACE_MS = 3000;

/** ms; a node without the store and without peers is not ready after this: its lease is over by then. */
export const ISOLATED_GRACE_MS = 8000;

/** ms; a heartbeat of another shard's worker is told to the peers for this long */
export const OBSERVED_WORKER_TTL_MS = 6000;
