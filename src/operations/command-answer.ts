/**
 * Results of operators' commands.
 * @packageDocumentation
 */

/**
 * Result of an operator's command, for scripts. `failed`: the command was not carried out; `invalid`: the command or
 * configuration has faults; `conflict`: the present state does not allow the change; `unknown`: the change may have
 * taken effect.
 */
export type CommandResult = "done" | "failed" | "invalid" | "conflict" | "unknown";

/** Body of the HTTP response to an operator's command. */
export interface CommandAnswer {
  readonly result: CommandResult;
  readonly message: string;
  readonly details?: unknown;
}

/** Why a record in the store was not changed. */
export interface RecordFailure {
  readonly kind: "refused" | "conflict" | "not-done" | "unknown";
  readonly message: string;
}

/**
 * Converts a failed change of a record into the response to the command.
 * @param failure - why the record was not changed
 * @returns the response body; `conflict` also for a refused change
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
