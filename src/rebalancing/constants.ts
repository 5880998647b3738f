/** Constants for moves of machines between shards. */

/** Minimum interval between writes that change only the wait reason of a move, which changes with every task. */
export const WAIT_REASON_WRITE_INTERVAL_MS = 5000;
