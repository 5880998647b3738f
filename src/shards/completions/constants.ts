/** Intervals and limits of saving completions. */

/** Time between two saves of a shard, so that completions of one job share a write; users allow 3 s. */
export const COMPLETION_SAVE_INTERVAL_MS = 200;

/** Time between two writes of completions that end neither a job nor a range: nobody waits for those. */
export const PROGRESS_SAVE_INTERVAL_MS = 1500;

/** Size limit of a batch: together with keys and guards it stays well below the 64 KiB of a transaction. */
export const MAX_BATCH_BYTES = 40_000;
