/** Timing and limits of the gossip between nodes. */

/** ms; gossip interval between nodes. */
export const GOSSIP_INTERVAL_MS = 1000;

/** messages; one in so many carries what is large and changes slowly. */
export const MESSAGES_PER_DETAILED_STATUS = 8;

/** ms; a peer not heard for this long counts as unreachable. */
export const PEER_TIMEOUT_MS = 3500;

/** bytes; a longer frame is an error of the sender: what does not fit is left out before. */
export const MAX_FRAME_BYTES = 1024 * 1024;

/** ms; a cancellation is told to the other nodes this soon, together with those of the same moment. */
export const CANCELLATION_FLUSH_DELAY_MS = 50;

/** a shard of which nothing is known is neither light nor heavy */
export const UNKNOWN_LOAD = 0.85;

/** times; the booked share of a shard must be so much larger than the other's: no passing to and fro. */
export const MIN_LOAD_RATIO = 1.5;

/** booked share that it must be larger by as well: little differences are not worth a write. */
export const MIN_LOAD_DIFFERENCE = 0.5;
