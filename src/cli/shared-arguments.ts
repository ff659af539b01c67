/**
 * Arguments and output functions that the operators' commands share.
 * @packageDocumentation
 */
import type { Either } from "purify-ts";
import type { CommandAnswer } from "../operations/index.js";
import { exitCodeOf, type CallFailure, type OperatorAddress } from "./operator-client.js";

/** Arguments of every command that calls an entry. */
export const operatorArguments = {
  entry: { type: "string", default: "127.0.0.1:7003", description: "Operator address of an entry, IP:port" },
  token: {
    type: "string",
    description: "Operator token; defaults to the environment variable DOGWOODHOIST_TOKEN",
  },
  json: { type: "boolean", default: false, description: "Print JSON" },
} as const;

/**
 * Reads the entry's address and the token from the arguments; the token falls back to the environment.
 * @param args - parsed arguments; `entry` is `IP:port`
 * @returns the address, without a token if neither source sets one
 */
export function operatorAddress(args: { entry: string; token?: string | undefined }): OperatorAddress {
  return { entry: args.entry, token: args.token ?? process.env.DOGWOODHOIST_TOKEN };
}

/**
 * Prints a command's result and sets the exit code of the process.
 * @param result - response of the entry, or the failure of the call
 * @param json - whether to print the response as one line of JSON
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
 * Writes a failure to standard error and sets the exit code of the process.
 * @param failure - failure of a call, or of the check of the arguments
 */
export function reportFailure(failure: CallFailure): void {
  process.exitCode = failure.exitCode;
  process.stderr.write(`${failure.message}\n`);
}

/**
 * Writes a line to standard output.
 * @param line - the line without a line end
 */
export function writeLine(line: string): void {
  process.stdout.write(`${line}\n`);
}
