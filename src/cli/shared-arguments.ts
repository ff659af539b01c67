/**
 * Arguments that operators' commands share, and the writing of their results.
 * @packageDocumentation
 */
import type { Either } from "purify-ts";
import type { CommandAnswer } from "../operations/index.js";
import { exitCodeOf, type CallFailure, type OperatorAddress } from "./operator-client.js";

/** Arguments of every command that speaks to an entry. */
export const operatorArguments = {
  entry: { type: "string", default: "127.0.0.1:7003", description: "Operator address of an entry, IP:port" },
  token: {
    type: "string",
    description: "Operator token; DOGWOODHOIST_TOKEN is read when it is not given",
  },
  json: { type: "boolean", default: false, description: "Write JSON" },
} as const;

/**
 * Finds the entry and token from arguments and environment.
 * @param args - parsed arguments
 * @returns where the operator interface is
 */
export function operatorAddress(args: { entry: string; token?: string | undefined }): OperatorAddress {
  return { entry: args.entry, token: args.token ?? process.env.DOGWOODHOIST_TOKEN };
}

/**
 * Writes how a command ended and sets the exit code.
 * @param result - the answer or why there is none
 * @param json - whether JSON is written
 */
export function reportCommand(result: Either<CallFailure, CommandAnswer>, json: boolean): void {
  result.caseOf({
    Left: reportFailure,
    Right: (answer) => {
      process.exitCode = exitCodeOf(answer);
      if (json) {
        writeLine(JSON.stringify(answer));
        return;
      }
      writeLine(`${answer.result}: ${answer.message}`);
      if (answer.result !== "done" && answer.details !== undefined) {
        writeLine(JSON.stringify(answer.details, undefined, 2));
      }
    },
  });
}

/**
 * Writes why a call brought no answer and sets the exit code.
 * @param failure - the failure
 */
export function reportFailure(failure: CallFailure): void {
  process.exitCode = failure.exitCode;
  process.stderr.write(`${failure.message}\n`);
}

/**
 * Writes a line to standard output.
 * @param line - the line without its end
 */
export function writeLine(line: string): void {
  process.stdout.write(`${line}\n`);
}
