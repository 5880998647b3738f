/** Intervals and tolerances that several concerns share. */

/** ms; users wait 5 s for a submission, so an answer after this is of no use to them. */
export const USER_REQUEST_TIMEOUT_MS = 1500;

/** ms; a change is acted on this soon, together with those that come right after it. */
export const DEBOUNCE_MS = 250;

/** share; steady clocks drift by up to 0.05 % each, so two of them differ by at most twice that. */
export const MAX_RELATIVE_CLOCK_DRIFT = 0.001;

/** ms; the wanted state is compared with what is this often. */
export const RECONCILE_INTERVAL_MS = 500;

/** machines; the protocol's limit for one return. */
export const MAX_MACHINES_PER_RETURN = 100;

/** ms; interval of the summary line at `info`. */
export const SUMMARY_INTERVAL_MS = 30_000;
