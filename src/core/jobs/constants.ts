/** Sizes of task ranges and of their records, and routing. */

/** share of a value's limit up to which completions of ranges are put together in it */
export const SLOT_FILL_RATIO = 0.6;

/** tasks; a range is not cut smaller than this, since each range costs writes of its own. */
export const MIN_RANGE_TASKS = 16;

/** tasks; a range's completion bitmap (4 per character) must fit one value of the state service, which
 * may allow less than this. */
export const MAX_RANGE_TASKS = 8192;

/** bytes beside a bitmap in a value that holds one range: its name and the quotes. */
export const RANGE_NAME_BYTES = 100;
