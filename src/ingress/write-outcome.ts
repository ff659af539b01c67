/**
 * Writes how a request ended as an HTTP answer.
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
 * Answers a caller.
 * @param response - the open response
 * @param requestId - identifier of the request
 * @param outcome - how the request ended
 */
export function writeOutcome(response: ServerResponse, requestId: string, outcome: Outcome): void {
  switch (outcome.kind) {
    case "answered":
    case "failed":
      writeAnswer(response, requestId, outcome);
      return;
    case "refused":
      writeOwnAnswer(response, refusalStatus(outcome.reason), requestId, describeRefusal(outcome));
      return;
    case "unknown":
      writeOwnAnswer(response, unknownStatus(outcome.reason), requestId, describeUnknown(outcome));
  }
}

function refusalStatus(reason: RefusedOutcome["reason"]): number {
  return reason === "key-reused" || reason === "job-fails" ? unprocessable : serviceUnavailable;
}

function describeRefusal({ reason, retryAfterMilliseconds }: RefusedOutcome): OwnAnswer {
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

function describeUnknown({ reason }: UnknownOutcome): OwnAnswer {
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
 * Answers a caller whose request was not accepted.
 * @param response - the open response
 * @param requestId - identifier of the request
 * @param rejection - what is wrong with the request
 */
export function writeRejection(response: ServerResponse, requestId: string, rejection: Rejection): void {
  const { status, reason, message } = rejection;
  const isBodyUnread = status === contentTooLarge || status === requestTimeout;
  // What is left of the body must not be read as the next request.
  if (isBodyUnread && !response.headersSent) response.setHeader("connection", "close");
  writeOwnAnswer(response, status, requestId, { outcome: "rejected", reason, notRun: true, message });
}

type OwnAnswer = Omit<OutcomeBody, "requestId"> & { readonly retryAfterMilliseconds?: number };

function writeOwnAnswer(
  response: ServerResponse,
  status: number,
  requestId: string,
  answer: OwnAnswer,
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

function writeAnswer(response: ServerResponse, requestId: string, outcome: AnswerOutcome): void {
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
 * Answers a connection whose bytes are not an HTTP request that can be routed, and ends it.
 * @param socket - the connection
 * @param rejection - what is wrong with the request
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
 * Describes bytes that Node.js could not read as a request.
 * @param code - Node.js's error code
 * @returns the rejection
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
