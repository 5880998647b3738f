/** Limits and time constants of capacity planning. */

/** A need for less than this fraction of a machine, beyond whole machines, does not justify renting one more. */
export const IGNORED_MACHINE_FRACTION = 0.15;

/** multiple of the nominal boot time after which a machine that never reported is returned */
export const BOOT_TIMEOUT_FACTOR = 2.2;

/** multiple of the nominal boot time up to which most machines come up; later ones are not waited for */
export const USUAL_BOOT_FACTOR = 1.5;

/** number of jobs remembered so that none is counted twice, before ended jobs are removed from that set */
export const COUNTED_JOBS_LIMIT = 20_000;

/** shortest span over which an arrival rate is computed */
export const MIN_ARRIVAL_WINDOW_S = 120;

/** number of finished tasks of a class from which on its measured run time is used without the owners' estimates */
export const RELIABLE_RUN_COUNT = 20;

/** window over which arrival rates are averaged: several boot times, well under an hour */
export const ARRIVAL_WINDOW_S = 150;

/** smallest weight of a newly finished task in the moving average of its class's run time */
export const RUN_TIME_SMOOTHING = 0.08;

/** assumed run time of a class with no finished tasks whose jobs give 0 as their estimate */
export const DEFAULT_RUN_S = 60;
