/** Timing and limits of the control loops of a node's shards. */

/** ms; a transfer without an answer is settled after this: the call itself has timed out by then. */
export const TRANSFER_SETTLE_MS = 2500;

/** ms; an owner that receives no heartbeat of its shard for this long transfers it to a peer that does. */
export const HEARTBEAT_LOSS_MS = 7000;

/** heartbeat intervals; the same limit where it is the shorter one, so that no machine counts as lost before. */
export const HEARTBEAT_LOSS_INTERVALS = 2.5;

/** ms; pause between two probes that tell a worker of the shard's term. */
export const PROBE_PAUSE_MS = 2000;

/** ranges of one job, whose record must stay well within a value of the store. */
export const MAX_RANGES_PER_JOB = 64;

/** share of a value's limit that a job's record may fill when its tasks migrate: that adds ranges. */
export const MAX_RECORD_FILL = 0.95;

/** ms; tasks that fit nowhere in their shard may migrate after this. */
export const MIGRATION_DELAY_MS = 1500;

/** ms; between two looks for tasks that may migrate: peers tell of their capacity about once a second. */
export const MIGRATION_INTERVAL_MS = 500;

/** jobs considered in one look, the longest waiting first. */
export const MAX_MIGRATION_CANDIDATES = 10;

/** ms; tasks that wait this long while no shard has capacity may migrate to one that is allocated less. */
export const BALANCING_DELAY_MS = 10_000;

/** ms; between two such migrations of a shard: each costs a write, and what peers told is a second old. */
export const BALANCING_INTERVAL_MS = 1000;

/** ms; between two reads of the cloud's machine list by one owner */
export const MACHINE_LIST_INTERVAL_MS = 5000;

/** ms; a machine that nobody recorded is adopted after this: its renter usually records it sooner */
export const ADOPTION_DELAY_MS = 4000;
