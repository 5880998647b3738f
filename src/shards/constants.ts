/** Timing and limits of the control loops of a node's shards. */

/** ms; completions collect this long so that those of one job share a write; users allow 3 s. */
export const COMPLETION_SAVE_INTERVAL_MS = 200;

/** ms; between writes of completions that end neither a job nor a range: nobody waits for them. */
export const PROGRESS_SAVE_INTERVAL_MS = 1500;

/** ms; between two writes of a shard's machine records: those of a boot wave come close together. */
export const MACHINE_RECORDS_INTERVAL_MS = 400;

/** bytes; well under the 64 KiB of a transaction, keys and conditions included. */
export const MAX_BATCH_BYTES = 40_000;

/** ms; a handover without an answer is settled after this: the call itself has timed out by then. */
export const TRANSFER_SETTLE_MS = 2500;

/** ms; an owner whose workers are all silent for this long, while a peer hears them, hands over. */
export const NO_HEARTBEATS_MS = 7000;

/** report intervals; the same where workers report so often that this comes sooner: machines count as lost
 * after `LOST_REPORTS` of them. */
export const NO_HEARTBEATS_INTERVALS = 2.5;

/** ms; between attempts to tell a worker of our term directly. */
export const CLAIM_PAUSE_MS = 2000;

/** ranges of one job: its record must stay well within a value of the state service. */
export const MAX_RANGES = 64;

/** share of a value's limit that a job's record may fill when tasks pass: cuts add to it. */
export const RECORD_FILL = 0.95;

/** bytes of a machine's name in a record of machines, with its quotes and state */
export const MACHINE_ENTRY_BYTES = 40;

/** bytes of everything else in such a record: type and zone are short names */
export const MACHINE_GROUP_BYTES = 300;

/** ms; a waiting range that fits nowhere in its shard may pass to another shard after this. */
export const TRANSFER_AFTER_MS = 1500;

/** ms; what other nodes say of their room comes about once a second, so passes are tried as often. */
export const TRANSFER_EVERY_MS = 500;

/** jobs looked at in one try, the longest waiting first. */
export const TRANSFER_TRIES = 10;

/** ms; tasks that wait longer than this although no shard has room may pass to one that is less booked. */
export const BALANCE_AFTER_MS = 10_000;

/** ms; between two such passes of a shard: each costs a write, and what others told is a second old. */
export const BALANCE_EVERY_MS = 1000;

/** ms; between repeats of a rental without an answer. */
export const RENTAL_RETRY_MS = 1000;

/** ms; the machine list is read this often by each owner. */
export const MACHINE_LIST_INTERVAL_MS = 5000;

/** ms; after "no capacity" the same type, zone and kind is not asked for again for this long. */
export const NO_CAPACITY_BACKOFF_MS = 15_000;

/** names of returned machines that are kept: the cloud lists them a little longer. */
export const RETURNED_INSTANCES_LIMIT = 10_000;

/** machines; the protocol's limit for one rental. */
export const MAX_RENTAL_BATCH = 50;

/** ms; a machine that nobody recorded is adopted after this: its renter usually does it sooner. */
export const ADOPTION_DELAY_MS = 4000;

/** ms; the least time between two rental decisions of a shard. */
export const CAPACITY_PLAN_INTERVAL_MS = 2000;
