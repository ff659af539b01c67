/**
 * Writes the HTTP answers to callers.
 * @packageDocumentation
 */
import { STATUS_CODES, type ServerResponse } from "node:http";
import type { Duplex } from "node:stream";
import type { AnswerOutcome, Outcome, RefusedOutcome, UnknownOutcome } from "../execution/index.js";
import { requestIdHeader } from "../forwarding/index.js";
import { sendJson } from "../shared/index.js";
import { outcomeHeader, replayedHeader, type OutcomeBody } from "./messages.js";
import type { Rejection } from "./parse-request.js";

const serviceUnavailable = 503;
const gatewayTimeout = 504;
const badGateway = 502;
const conflict = 409;
const unprocessable = 422;
const badRequest = 400;
const requestTimeout = 408;
const contentTooLarge = 413;
const headerTooLarge = 431;
const alreadyRunningRetryMilliseconds = 1_000;
const millisecondsPerSecond = 1_000;

/**
 * Writes a request's outcome to its caller. Does nothing if the response is destroyed or has started.
 * @param response - response to the caller
 * @param requestId - identifier of the request
 * @param outcome - outcome of the request
 */
export function writeOutcome(response: ServerResponse, requestId: string, outcome: Outcome): void {
  switch (outcome.kind) {
    case "answered":
    case "failed":
      writeTargetAnswer(response, requestId, outcome);
      return;
    case "refused":
      writeEntryAnswer(response, refusalStatus(outcome.reason), requestId, describeRefusal(outcome));
      return;
    case "unknown":
      writeEntryAnswer(response, unknownStatus(outcome.reason), requestId, describeUnknown(outcome));
  }
}

function refusalStatus(reason: RefusedOutcome["reason"]): number {
  return reason === "key-reused" || reason === "job-fails" ? unprocessable : serviceUnavailable;
}

function describeRefusal({ reason, retryAfterMilliseconds }: RefusedOutcome): EntryAnswer {
  const refusal = { outcome: "refused", reason, notRun: true } as const;
  if (reason === "key-reused") {
    return { ...refusal, message: "the idempotency key belongs to a request with another content" };
  }
  if (reason === "job-fails") {
    const message = "this job failed on several targets a short while ago; it was not run again";
    return { ...refusal, message, retryAfterMilliseconds };
  }
  const message = "the request was not run; send it again after the time in Retry-After";
  return { ...refusal, message, retryAfterMilliseconds };
}

function unknownStatus(reason: UnknownOutcome["reason"]): number {
  switch (reason) {
    case "already-running":
    case "already-run":
    case "earlier-run-unknown":
      return conflict;
    case "timeout":
      return gatewayTimeout;
    default:
      return badGateway;
  }
}

function describeUnknown({ reason }: UnknownOutcome): EntryAnswer {
  const unknown = { outcome: "unknown", reason, notRun: undefined } as const;
  switch (reason) {
    case "already-running":
      return {
        ...unknown,
        message: "an earlier request with this idempotency key is running",
        retryAfterMilliseconds: alreadyRunningRetryMilliseconds,
      };
    case "already-run":
      return { ...unknown, message: "an earlier request with this key ran; its answer is not held any more" };
    case "earlier-run-unknown":
      return { ...unknown, message: "an earlier request with this idempotency key may have run" };
    default:
      return { ...unknown, message: "the request may have run" };
  }
}

/**
 * Writes the rejection of a request that was not accepted. Does nothing if the response is destroyed or has started.
 * @param response - response to the caller
 * @param requestId - identifier of the request
 * @param rejection - the rejection
 */
export function writeRejection(response: ServerResponse, requestId: string, rejection: Rejection): void {
  const { status, reason, message } = rejection;
  const isBodyUnread = status === contentTooLarge || status === requestTimeout;
  // Closes the connection, so that the unread rest of the body is not parsed as the next request.
  if (isBodyUnread && !response.headersSent) response.setHeader("connection", "close");
  writeEntryAnswer(response, status, requestId, { outcome: "rejected", reason, notRun: true, message });
}

type EntryAnswer = Omit<OutcomeBody, "requestId"> & { readonly retryAfterMilliseconds?: number };

function writeEntryAnswer(
  response: ServerResponse,
  status: number,
  requestId: string,
  answer: EntryAnswer,
): void {
  if (response.destroyed || response.headersSent) return;
  const { retryAfterMilliseconds, ...body } = answer;
  const retry: Record<string, string> =
    retryAfterMilliseconds === undefined
      ? {}
      : {
          "retry-after": String(Math.ceil(retryAfterMilliseconds / millisecondsPerSecond)),
          "x-retry-after-ms": String(Math.ceil(retryAfterMilliseconds)),
        };
  const headers = { ...retry, [outcomeHeader]: answer.outcome, [requestIdHeader]: requestId };
  sendJson(response, status, { ...body, requestId }, headers);
}

const connectionHeaders = new Set([
  "connection",
  "keep-alive",
  "transfer-encoding",
  "content-length",
  "date",
]);

function writeTargetAnswer(response: ServerResponse, requestId: string, outcome: AnswerOutcome): void {
  if (response.destroyed || response.headersSent) return;
  const { answer, kind, replayed } = outcome;
  const kept = Object.entries(answer.headers).filter(([name]) => !connectionHeaders.has(name));
  response.writeHead(answer.status, {
    ...Object.fromEntries(kept),
    "content-length": String(answer.body.length),
    ...(replayed ? { [replayedHeader]: "true" } : {}),
    [outcomeHeader]: kind,
    [requestIdHeader]: requestId,
  });
  response.end(answer.body);
}

/**
 * Writes a rejection to a connection on which Node.js could not parse a request, and ends the connection.
 * @param socket - the connection; destroyed if it is not writable
 * @param rejection - the rejection
 */
export function writeRawRejection(socket: Duplex, rejection: Rejection): void {
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  const { status, reason, message } = rejection;
  const body = JSON.stringify({ outcome: "rejected", reason, notRun: true, message });
  const head = [
    `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ""}`,
    "connection: close",
    "content-type: application/json",
    `content-length: ${Buffer.byteLength(body)}`,
    `${outcomeHeader}: rejected`,
  ];
  socket.end(`${head.join("\r\n")}\r\n\r\n${body}`);
}

/**
 * Maps an error of Node.js's HTTP parser to a rejection.
 * @param code - error code of the `clientError` event
 * @returns the rejection; `malformed-request` for an unknown code
 */
export function describeParserFault(code: string | undefined): Rejection {
  if (code === "HPE_HEADER_OVERFLOW") {
    const message = "the header is larger than this entry accepts";
    return { status: headerTooLarge, reason: "header-too-large", message };
  }
  if (code === "ERR_HTTP_REQUEST_TIMEOUT") {
    const message = "the request did not arrive in time";
    return { status: requestTimeout, reason: "body-too-slow", message };
  }
  return { status: badRequest, reason: "malformed-request", message: "the bytes are not an HTTP request" };
}
