/** Timing and limits of the control loops of a node's shards. */

/** ms; completions collect this long so that those of one job share a write; users allow 3 s. */
export const SAVE_MS = 200;

/** ms; between writes of completions that end neither a job nor a range: nobody waits for them. */
export const PROGRESS_MS = 1500;

/** ms; between two writes of a shard's machine records: those of a boot wave come close together. */
export const MACHINES_MS = 400;

/** bytes; well under the 64 KiB of a transaction, keys and conditions included. */
export const BATCH_BYTES = 40_000;

/** ms; a transfer without an answer is settled after this: the call itself has timed out by then. */
export const TRANSFER_SETTLE_MS = 2500;

/** ms; an owner that receives no heartbeat of its shard for this long transfers it to a peer that does. */
export const NO_HEARTBEATS_MS = 7000;

/** heartbeat intervals; the same limit where it is the shorter one, so that no machine counts as lost before. */
export const NO_HEARTBEATS_INTERVALS = 2.5;

/** ms; pause between two probes that tell a worker of the shard's term. */
export const PROBE_PAUSE_MS = 2000;

/** ranges of one job, whose record must stay well within a value of the store. */
export const MAX_RANGES_PER_JOB = 64;

/** share of a value's limit that a job's record may fill when its tasks migrate: that adds ranges. */
export const RECORD_FILL_LIMIT = 0.95;

/** bytes of a machine's name in a record of machines, with its quotes and state */
export const HOST_BYTES = 40;

/** bytes of everything else in such a record: type and zone are short names */
export const GROUP_BYTES = 300;

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

/** ms; between repeats of a rental without an answer. */
export const RENT_RETRY_MS = 1000;

/** ms; the machine list is read this often by each owner. */
export const LIST_MS = 5000;

/** ms; after "no capacity" the same type, zone and kind is not asked for again for this long. */
export const NO_CAPACITY_MS = 15_000;

/** names of returned machines that are kept: the cloud lists them a little longer. */
export const RETURNED_KEPT = 10_000;

/** machines; the protocol's limit for one rental. */
export const MAX_RENTAL_BATCH = 50;

/** ms; a machine that nobody recorded is adopted after this: its renter usually does it sooner. */
export const ADOPT_MS = 4000;

/** ms; the least time between two rental decisions of a shard. */
export const RENT_MS = 2000;
