/** Timing and limits of the control loops of a node's shards. */

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

/** ms; between two reads of the cloud's machine list by one owner */
export const MACHINE_LIST_INTERVAL_MS = 5000;

/** ms; a machine that nobody recorded is adopted after this: its renter usually records it sooner */
export const ADOPTION_DELAY_MS = 4000;
