/** Delays of the failover and failback of shards, and the tokens that a change of owner reserves. */

/** How long a shard without a live owner is left to its preferred node, then to each further candidate in turn. */
export const FAILOVER_GRACE_MS = 1500;

/** How long a returned node must have been eligible before its shard fails back to it. */
export const FAILBACK_DELAY_MS = 8000;

/** Upper limit of the failback delays, which double with every transfer of a shard to prevent flapping. */
export const MAX_FAILBACK_DELAY_MS = 120_000;

/**
 * How long a shard stays with its new owner after its preferred node transferred it away while live. That node
 * receives no heartbeats, and there is no signal when it receives them again. Doubles with each such transfer, up to
 * `MAX_FAILBACK_DELAY_MS`.
 */
export const FAILBACK_HOLD_MS = 45_000;

/**
 * Fencing tokens that a change of ownership reserves for the new owner: its term and those that follow. They last for
 * hours, since a machine uses up at most one with each heartbeat.
 */
export const TOKENS_PER_TERM = 4096;
