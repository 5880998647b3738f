/** Timing of failover and failback. */

/** ms; a shard without a live owner is left to its preferred node for this long, and to each next candidate. */
export const FAILOVER_GRACE_MS = 1500;

/** ms; a returned node must have been fit for this long before its shard fails back to it. */
export const FAILBACK_DELAY_MS = 8000;

/** ms; upper limit of the failback delays, which double with every transfer of a shard so that it doesn't flap. */
export const MAX_FAILBACK_DELAY_MS = 120_000;

/** ms; a shard that its live preferred node transferred away stays where it is for this long: that node receives no
 * heartbeats, and nothing tells when it does again. Doubles each time, up to `MAX_FAILBACK_MS`. */
export const FAILBACK_HOLD_MS = 45_000;
