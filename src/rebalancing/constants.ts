/** Timing of machine moves between shards. */

/** ms between two writes of a move that change nothing but what it waits for, which changes with every task. */
export const WAIT_REASON_WRITE_INTERVAL_MS = 5000;
