/** The clocks of the process. */
import { performance } from 'node:perf_hooks';

/** Returns the time of the monotonic clock in ms. It may run fast or slow by 0.05 %, and never jumps. */
export const monotonicMs = (): number => performance.now();

/** Returns the time of day in ms since the epoch. Its error stays within the `time_bound_ms` of the settings. */
export const timeOfDayMs = (): number => Date.now();
