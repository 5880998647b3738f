/** Timing of failover and failback. */

/** ms; a shard whose owner is gone is left this long to the node that it belongs to. */
export const FAILOVER_GRACE_MS = 1500;

/** ms; a returned node must have been alive this long before it gets its shard back. */
export const FAILBACK_MS = 8000;

/** ms; upper end of that time, which doubles with every handover of a shard: no flapping. */
export const MAX_FAILBACK_MS = 120_000;

/** ms; a shard that its living node gave away stays with the one that got it so long: that node hears no
 * workers, and nothing tells when it does again. Doubles each time, up to `HANDBACK_MAX_MS`. */
export const FAILBACK_HOLD_MS = 45_000;
