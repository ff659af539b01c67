/**
 * Calls of the commands to an entry's operator interface.
 * @packageDocumentation
 */
import { Left, Right, type Either } from "purify-ts";
import { request } from "undici";
import * as z from "zod";
import type { CommandAnswer } from "../operations/index.js";
import { parseWith } from "../shared/index.js";
import { exitCodes, type ExitCode } from "./exit-codes.js";

/** Where the operator interface is. */
export interface OperatorAddress {
  /** `IP:port` of an entry's operator interface. */
  readonly entry: string;
  readonly token: string | undefined;
}

/** A call that brought no answer, with the exit code that says so. */
export interface CallFailure {
  readonly exitCode: ExitCode;
  readonly message: string;
}

const answerSchema = z.object({
  result: z.enum(["done", "failed", "invalid", "conflict", "unknown"]),
  message: z.string(),
  details: z.unknown().optional(),
});

const callTimeoutMilliseconds = 15_000;
const unauthorized = 401;

/**
 * Reads from the operator interface.
 * @param address - the entry
 * @param path - what is read
 * @returns decoded JSON
 */
export async function readFromEntry(
  address: OperatorAddress,
  path: string,
): Promise<Either<CallFailure, unknown>> {
  return call(address, "GET", path, undefined);
}

/**
 * Sends a command to the operator interface.
 * @param address - the entry
 * @param path - the command
 * @param body - its input
 * @returns how the command ended
 */
export async function sendCommand(
  address: OperatorAddress,
  path: string,
  body: unknown,
): Promise<Either<CallFailure, CommandAnswer>> {
  const answer = await call(address, "POST", path, body);
  return answer.chain((value) =>
    parseWith(answerSchema, value)
      .map((checked): CommandAnswer => ({ ...checked }))
      .mapLeft(() => ({ exitCode: exitCodes.unknownOutcome, message: "the entry's answer cannot be read" })),
  );
}

/**
 * Finds the exit code for a command's result.
 * @param answer - how the command ended
 * @returns the exit code
 */
export function exitCodeOf(answer: CommandAnswer): ExitCode {
  switch (answer.result) {
    case "done":
      return exitCodes.done;
    case "failed":
      return exitCodes.failed;
    case "invalid":
      return exitCodes.badUsage;
    case "conflict":
      return exitCodes.conflict;
    case "unknown":
      return exitCodes.unknownOutcome;
  }
}

async function call(
  { entry, token }: OperatorAddress,
  method: "GET" | "POST",
  path: string,
  body: unknown,
): Promise<Either<CallFailure, unknown>> {
  const authorization: Record<string, string> =
    token === undefined ? {} : { authorization: `Bearer ${token}` };
  try {
    const response = await request(`http://${entry}${path}`, {
      method,
      headers: { "content-type": "application/json", ...authorization },
      body: body === undefined ? null : JSON.stringify(body),
      signal: AbortSignal.timeout(callTimeoutMilliseconds),
    });
    if (response.statusCode === unauthorized) {
      await response.body.dump();
      return Left({ exitCode: exitCodes.badUsage, message: `${entry} asks for a valid operator token` });
    }
    return Right(await response.body.json());
  } catch (error) {
    return Left(describeCallError(error, entry, method));
  }
}

function describeCallError(error: unknown, entry: string, method: "GET" | "POST"): CallFailure {
  const { code, message } = error as { code?: string; message: string };
  if (code === "ECONNREFUSED") {
    return { exitCode: exitCodes.failed, message: `no entry listens on ${entry}` };
  }
  const exitCode = method === "GET" ? exitCodes.failed : exitCodes.unknownOutcome;
  return { exitCode, message: `${entry}: ${message}` };
}
