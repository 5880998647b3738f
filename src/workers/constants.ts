/** Timing of direct commands to workers. */

/** ms; a direct command that takes longer than this is given up. */
export const DIRECT_COMMAND_TIMEOUT_MS = 1500;
