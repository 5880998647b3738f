/** Timing of machine moves between shards. */

/** ms; what a move waits for is written this often: it changes with every task, and people read it. */
export const WAIT_REASON_WRITE_INTERVAL_MS = 5000;
