/** Limits of the protocol's messages. */

/** characters; names of a submission are stored in values, whose size is limited. */
export const MAX_NAME_LENGTH = 200;

/** tasks; the protocol's limit for one job. */
export const MAX_TASKS_PER_JOB = 100_000;
