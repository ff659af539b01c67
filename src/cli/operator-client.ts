/**
 * HTTP client for an entry's operator interface.
 * @packageDocumentation
 */
import { Left, Right, type Either } from "purify-ts";
import { request } from "undici";
import * as z from "zod";
import type { CommandAnswer } from "../operations/index.js";
import { parseWith } from "../shared/index.js";
import { exitCodes, type ExitCode } from "./exit-codes.js";

/** Address of an operator interface and the token to send to it. */
export interface OperatorAddress {
  /** `IP:port` of an entry's operator interface. */
  readonly entry: string;
  /** Bearer token; undefined sends no authorization header. */
  readonly token: string | undefined;
}

/** A call without a usable response, and the exit code for it. */
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
 * @param address - entry to call, with its token
 * @param path - URL path of the resource
 * @returns the decoded JSON, not validated, or the failure
 */
export async function readFromEntry(
  address: OperatorAddress,
  path: string,
): Promise<Either<CallFailure, unknown>> {
  return call(address, "GET", path, undefined);
}

/**
 * Sends a command to the operator interface.
 * @param address - entry to call, with its token
 * @param path - URL path of the command
 * @param body - input of the command, sent as JSON
 * @returns the command's result; an invalid response is an unknown outcome, as the command may have been carried out
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
      .mapLeft(() => ({ exitCode: exitCodes.unknownOutcome, message: "the entry sent an invalid response" })),
  );
}

/**
 * Maps a command's result to an exit code.
 * @param answer - response of the entry
 * @returns the exit code for scripts
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
      return Left({ exitCode: exitCodes.badUsage, message: `${entry} requires a valid operator token` });
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
  // A command may have been carried out although its response was lost, so that its outcome is unknown.
  const exitCode = method === "GET" ? exitCodes.failed : exitCodes.unknownOutcome;
  return { exitCode, message: `${entry}: ${message}` };
}
