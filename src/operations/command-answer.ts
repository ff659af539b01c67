/**
 * How an operator's command ended.
 * @packageDocumentation
 */

/** How an operator's command ended, for scripts. */
export type CommandResult = "done" | "failed" | "invalid" | "conflict" | "unknown";

/** Body of the answer to an operator's command. */
export interface CommandAnswer {
  readonly result: CommandResult;
  readonly message: string;
  readonly details?: unknown;
}

/** Why a change of a record in the store was not made. */
export interface RecordFailure {
  readonly kind: "refused" | "conflict" | "not-done" | "unknown";
  readonly message: string;
}

/**
 * Describes a change that was not made.
 * @param failure - why it was not made
 * @returns the answer to the command
 */
export function describeRecordFailure({ kind, message }: RecordFailure): CommandAnswer {
  switch (kind) {
    case "refused":
    case "conflict":
      return { result: "conflict", message };
    case "not-done":
      return { result: "failed", message };
    case "unknown":
      return { result: "unknown", message };
  }
}
