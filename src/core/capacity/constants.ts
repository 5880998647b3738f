/** Numbers of capacity planning. */

/** Fractions of a machine below this are not worth renting one for. */
export const IGNORED_MACHINE_FRACTION = 0.15;

/** times the nominal boot time after which a machine that never reported is given back. */
export const BOOT_TIMEOUT_FACTOR = 2.2;

/** jobs remembered against counting twice, before those that have ended are sorted out */
export const COUNTED_JOBS_LIMIT = 20_000;

/** s; shortest span that a rate is taken over */
export const MIN_ARRIVAL_WINDOW_S = 120;

/** finished tasks from which on the measured run time is trusted alone */
export const RELIABLE_RUN_COUNT = 20;

/** s; arrival rates are averaged over about this long: several boot times, well under an hour. */
export const ARRIVAL_WINDOW_S = 150;

/** weight of one more finished task in the learned run time of its class. */
export const RUN_TIME_SMOOTHING = 0.08;

/** s; assumed run time of a class of which nothing is known and whose guess is 0. */
export const DEFAULT_RUN_S = 60;
