/** Limits of the gossip of cancellations, and of lease renewals without it. */

/** cancellations in one message; two writes each at 35 a second, kept for a minute, make about 1,000 */
export const GOSSIPED_CANCELLATIONS_LIMIT = 2000;

/**
 * ms; kept back from the time for a cancellation when worker leases are renewed without knowing it: the way
 * of a reply, the worker's own timers, and the end of its tasks
 */
export const LEASE_WITHHOLDING_MARGIN_MS = 1500;
