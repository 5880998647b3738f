/** Limits of the protocol's messages. */

/** characters; names inside a submission end up in values of the state service, which are small. */
export const MAX_NAME_LENGTH = 200;

/** tasks; the protocol's limit for one job. */
export const MAX_TASKS_PER_JOB = 100_000;
