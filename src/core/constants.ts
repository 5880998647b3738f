/** Constants that all folders of the core share. */

/**
 * Tolerance when two amounts of a resource are compared, in the unit of the resource: sums of decimal amounts are
 * inexact in their last digits, and a millionth of a core is negligible.
 */
export const ROUNDING_TOLERANCE = 1e-6;

/** How many tasks without any demand fit on one machine: even such a task costs its worker something. */
export const ZERO_DEMAND_TASKS_PER_MACHINE = 64;
