/**
 * Exit codes of the commands.
 * @packageDocumentation
 */

/** Exit codes that scripts can rely on. */
export const exitCodes = {
  done: 0,
  failed: 1,
  badUsage: 2,
  conflict: 3,
  unknownOutcome: 4,
} as const;

/** One of the exit codes. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
