/** Timing and limits of saving completions. */

/** ms; between two saves of a shard, so that completions of one job share a write; users allow 3 s */
export const COMPLETION_SAVE_INTERVAL_MS = 200;

/** ms; between writes of completions that end neither a job nor a range: nobody waits for them */
export const PROGRESS_SAVE_INTERVAL_MS = 1500;

/** bytes; well under the 64 KiB of a transaction, keys and guards included */
export const MAX_BATCH_BYTES = 40_000;
