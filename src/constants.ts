/** Intervals, limits and tolerances that several modules share. */

/** Time limit for handling a user request. Users wait 5 s for a submission, so a later answer is of no use to them. */
export const USER_REQUEST_TIMEOUT_MS = 1500;

/** Delay between a change and the reaction to it, so that changes in quick succession are handled together. */
export const DEBOUNCE_MS = 250;

/**
 * Maximum relative difference in rate between two monotonic clocks, as a fraction: each drifts by up to 0.05 %, so two of
 * them differ by at most twice that.
 */
export const MAX_RELATIVE_CLOCK_DRIFT = 0.001;

/** Interval at which the desired state is compared with the actual state. */
export const RECONCILE_INTERVAL_MS = 500;

/** The protocol's limit on the number of machines in one return request. */
export const MAX_MACHINES_PER_RETURN = 100;

/** Interval of the `summary` line in the log at level `info`. */
export const SUMMARY_INTERVAL_MS = 30_000;
