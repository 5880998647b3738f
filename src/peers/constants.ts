/** Timing and limits of the gossip between nodes. */

/** Gossip interval between nodes. */
export const GOSSIP_INTERVAL_MS = 1000;

/** One message in this many is detailed: it includes images and job progress, which are large and change slowly. */
export const MESSAGES_PER_DETAILED_STATUS = 8;

/** A peer from which no status arrives for this long counts as unreachable. */
export const PEER_TIMEOUT_MS = 3500;

/**
 * Longest frame that a receiver accepts. A longer frame is an error of its sender, which has to leave out
 * what does not fit.
 */
export const MAX_FRAME_BYTES = 1024 * 1024;

/**
 * Inbound connections over which no status has arrived yet; beyond this the oldest is closed. Each may buffer a frame,
 * and a peer sends its first status at once.
 */
export const MAX_UNIDENTIFIED_CONNECTIONS = 16;

/** An inbound connection over which no whole status arrives for this long is closed. */
export const STATUS_TIMEOUT_MS = 5 * GOSSIP_INTERVAL_MS;

/** A confirmed cancellation is broadcast after this delay, in one message with those confirmed meanwhile. */
export const CANCELLATION_FLUSH_DELAY_MS = 50;

/** Load assumed for a shard whose load is unknown: routing then treats it as neither light nor heavy. */
export const UNKNOWN_LOAD = 0.85;

/**
 * Tasks migrate to a less allocated shard only if the load of their own shard is more than this many times as high, so
 * that they don't migrate back and forth.
 */
export const MIN_LOAD_RATIO = 1.5;

/** The load must also be higher by more than this: a small difference is not worth a write. */
export const MIN_LOAD_DIFFERENCE = 0.5;
