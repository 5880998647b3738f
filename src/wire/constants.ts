/** Limits of the protocol's messages. */

/** Maximum length of a name in characters. Names of a submission are stored in values, whose size is limited. */
export const MAX_NAME_LENGTH = 200;

/** The protocol's limit on the number of tasks of one job. */
export const MAX_TASKS_PER_JOB = 100_000;
