/** Delays, intervals and limits of the control loops of the shards that a node owns. */

/** Time after which a transfer without an answer is settled; the call itself has timed out by then. */
export const TRANSFER_SETTLE_MS = 2500;

/** An owner that receives no heartbeat of its shard for this long transfers the shard to a peer that does. */
export const HEARTBEAT_LOSS_MS = 7000;

/**
 * The same limit in heartbeat intervals. The shorter of both limits applies, so that the transfer comes before any
 * machine counts as lost.
 */
export const HEARTBEAT_LOSS_INTERVALS = 2.5;

/** Pause between two probes of a worker; a probe tells the worker the shard's term. */
export const PROBE_PAUSE_MS = 2000;

/** Tasks of a job with this many ranges do not migrate: its record must stay well within the size of a value. */
export const MAX_RANGES_PER_JOB = 64;

/**
 * Share of the size limit of a stored value that a job's record may fill after a migration of its tasks, which may add
 * a range.
 */
export const MAX_RECORD_FILL = 0.95;

/** Time after which tasks that fit nowhere in their shard may migrate. */
export const MIGRATION_DELAY_MS = 1500;

/** Interval at which a shard searches for tasks to migrate; peers announce their capacity about once a second. */
export const MIGRATION_INTERVAL_MS = 500;

/** Maximum number of jobs considered in one search, those that have waited longest first. */
export const MAX_MIGRATION_CANDIDATES = 10;

/** Tasks that wait this long while no shard has free capacity may migrate to a shard that is less allocated. */
export const BALANCING_DELAY_MS = 10_000;

/**
 * Minimum time between two such migrations from a shard: each costs a write, and the announced state of peers is about
 * a second old.
 */
export const BALANCING_INTERVAL_MS = 1000;

/** Interval at which an owner reads the cloud's machine list. */
export const MACHINE_LIST_INTERVAL_MS = 5000;

/** Time after which an unrecorded machine is adopted; the node that rented it usually records it sooner. */
export const ADOPTION_DELAY_MS = 4000;
