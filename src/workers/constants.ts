/** Timing of direct commands to workers. */

/** A direct command without a response within this time has failed. */
export const DIRECT_COMMAND_TIMEOUT_MS = 1500;
