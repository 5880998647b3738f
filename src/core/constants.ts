/** Constants that all folders of the core share. */

/**
 * Tolerance when two amounts of a resource are compared, in the unit of the resource: sums of decimal amounts are
 * inexact in their last digits, and a millionth of a core is negligible.
 */
export const ROUNDING_TOLERANCE = 1e-6;

/**
 * Most tasks on one machine, however little each demands. A worker lists all of its tasks in each heartbeat, ended ones
 * included, and the protocol limits a heartbeat to 64 KiB; the entry of a task takes up to 120 bytes.
 */
export const MAX_TASKS_PER_MACHINE = 500;
