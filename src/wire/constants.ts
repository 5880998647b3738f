/** Limits of the protocol's messages. */

/** characters; names inside a submission end up in values of the state service, which are small. */
export const NAME_LIMIT = 200;

/** tasks; the protocol's limit for one job. */
export const TASKS_LIMIT = 100_000;
