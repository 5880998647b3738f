/** Numbers that all of the core shares. */

/** Sums of decimal amounts are off in the last digits; a millionth of a core is nothing. */
export const ROUNDING_TOLERANCE = 1e-6;

/** A task that asks for nothing still costs its worker something. */
export const ZERO_DEMAND_TASKS_PER_MACHINE = 64;
