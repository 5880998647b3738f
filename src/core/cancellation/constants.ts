/** Limits of the gossip of cancellations, and of lease renewals by a node that lacks current knowledge of them. */

/**
 * Maximum number of cancellations named in one message. A cancellation takes two writes, so 35 writes per second make
 * about 1,000 cancellations in the minute for which they are kept.
 */
export const GOSSIPED_CANCELLATIONS_LIMIT = 2000;

/**
 * Subtracted from the time that a cancellation may take when worker leases are renewed without knowledge of recent
 * cancellations. Covers the delivery of the reply, the worker's own timers, and the termination of its tasks.
 */
export const LEASE_WITHHOLDING_MARGIN_MS = 1500;
