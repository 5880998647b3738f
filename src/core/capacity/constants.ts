/** Numbers of capacity planning. */

/** Fractions of a machine below this are not worth renting one for. */
export const CEIL_SLACK = 0.15;

/** times the nominal boot time after which a machine that never reported is given back. */
export const BOOT_GIVE_UP = 2.2;

/** jobs remembered against counting twice, before those that have ended are sorted out */
export const SEEN_JOBS_LIMIT = 20_000;

/** s; shortest span that a rate is taken over */
export const FIRST_SPAN_S = 120;

/** finished tasks from which on the measured run time is trusted alone */
export const FINISHED_ENOUGH = 20;

/** s; arrival rates are averaged over about this long: several boot times, well under an hour. */
export const RATE_WINDOW_S = 150;

/** weight of one more finished task in the learned run time of its class. */
export const RUN_WEIGHT = 0.08;

/** s; assumed run time of a class of which nothing is known and whose guess is 0. */
export const RUN_UNKNOWN_S = 60;
