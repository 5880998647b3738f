/** Exit codes of the operator's commands, and the error that a command with such a code fails with. */

/** The process's exit codes; scripts depend on their numbers. */
export const EXIT = {
  ok: 0,
  /** the store cannot be reached; the state is unknown, and nothing was changed */
  unavailable: 1,
  /** the arguments or the settings are invalid; nothing was changed */
  badInput: 2,
  /** another request or move conflicts; nothing was changed */
  conflict: 3,
} as const;

/** One of the exit codes. */
export type ExitCode = (typeof EXIT)[keyof typeof EXIT];

/** A command failed. The process exits with `code`; the message states the reason and is printed unchanged. */
export class CommandError extends Error {
  constructor(
    readonly code: ExitCode,
    message: string,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}
