/** Sizes of task ranges and of the stored values that hold their completion bitmaps. */

/** Share of the size limit of a value up to which it is filled with the completion bitmaps of several ranges. */
export const SLOT_FILL_RATIO = 0.6;

/** Smallest size to which ranges are split, in tasks: each range costs writes of its own. */
export const MIN_RANGE_TASKS = 16;

/**
 * Largest size of a range, in tasks. The completion bitmap of a range (4 tasks per character) has to fit one value of
 * the store; where values may be smaller, `maxRangeTasks` sets a lower limit.
 */
export const MAX_RANGE_TASKS = 8192;

/** Bytes that a value with the bitmap of one range needs besides the bitmap: for the name of the range and quotes. */
export const RANGE_NAME_BYTES = 100;
