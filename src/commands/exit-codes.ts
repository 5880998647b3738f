/** Exit codes of the operator's commands, and the error that carries one. */

/** The process's exit codes; scripts depend on their numbers. */
export const EXIT = {
  ok: 0,
  /** the store can't be reached: nothing is known, and nothing was changed */
  unavailable: 1,
  /** the arguments or the settings are invalid: nothing was changed */
  badInput: 2,
  /** another request or move conflicts: nothing was changed */
  conflict: 3,
} as const;
/** One of the exit codes. */
export type ExitCode = (typeof EXIT)[keyof typeof EXIT];

/** A command failed, with the exit code for scripts; the message says why and is printed as it is. */
export class CommandError extends Error {
  constructor(
    readonly code: ExitCode,
    message: string,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}
