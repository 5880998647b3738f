/** What the process's exit code tells a script. */
export const EXIT = {
  ok: 0,
  /** the state service can't be reached: nothing is known, and nothing was changed */
  unavailable: 1,
  /** the call or the settings are wrong: nothing was changed */
  badInput: 2,
  /** somebody else's request stands in the way: nothing was changed */
  conflict: 3,
} as const;
export type ExitCode = (typeof EXIT)[keyof typeof EXIT];

/** A command can't go on; the message tells why, for people. */
export class CommandError extends Error {
  constructor(
    readonly code: ExitCode,
    message: string,
  ) {
    super(message);
  }
}
