/** Timing and limits of the node's process. */

/** ms; a request that takes longer than any caller waits is cut off. */
export const REQUEST_TIMEOUT_MS = 10_000;

/** share of the process's sockets that direct commands may take at once: a survivor that takes over
 * every shard claims all workers, and their reports and the users need sockets as well. */
export const DIRECT_COMMAND_SOCKET_SHARE = 0.08;

/** share of the inbound connections beyond which answers close theirs: what is left takes newcomers */
export const CLOSE_AFTER_RESPONSE_SHARE = 0.7;

/** sockets to each other node: one a way, and as many that have ended and are not gone yet */
export const PEER_SOCKETS = 4;

/** sockets kept back for what is counted nowhere: listeners, probes of the load balancer, watches */
export const RESERVED_SOCKETS = 24;

/** worker leases after which an idle inbound connection is closed: a machine that is gone says nothing,
 * and users ask about every 5 s while they wait. */
export const IDLE_LEASES = 2;

/** share of a node's requests that the feed may take; less means answers and starts come later. */
export const WATCH_REQUEST_SHARE = 0.3;

/** ms; a watch is opened again no sooner than this: each opening counts as a request. */
export const FOLLOW_PAUSE_MS = 400;

/** ms; state answered more recently than this counts as "has state". */
export const STORE_FRESH_MS = 4000;

/**
 * ms; a node without state stays in the load balancer this long although a peer has state. At both ends
 * of an outage the nodes see it a little apart, and a node that leaves comes back late.
 */
export const READY_GRACE_MS = 3000;

/**
 * ms; a node without state that hears no other node leaves the load balancer after this: by then its
 * lease is over and others have taken its shards. Its users are better served by them.
 */
export const ISOLATED_GRACE_MS = 8000;

/** ms; a stray worker is told to the others for this long. */
export const OBSERVED_WORKER_MS = 6000;
