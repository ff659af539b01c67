/**
 * Exit codes of the commands.
 * @packageDocumentation
 */

/** Exit codes of all commands; scripts rely on these numbers. */
export const exitCodes = {
  done: 0,
  failed: 1,
  badUsage: 2,
  conflict: 3,
  unknownOutcome: 4,
} as const;

/** One of the exit codes. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
