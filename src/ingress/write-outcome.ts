/**
 * Writes how a request ended as an HTTP answer.
 * @packageDocumentation
 */
import type { ServerResponse } from "node:http";
import type { Outcome } from "../execution/index.js";
import { requestIdHeader, type TargetAnswer } from "../forwarding/index.js";
import { sendJson } from "../shared/index.js";
import { outcomeHeader, type OutcomeBody } from "./messages.js";
import type { Rejection } from "./parse-request.js";

const serviceUnavailable = 503;
const gatewayTimeout = 504;
const badGateway = 502;
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
      writeAnswer(response, requestId, outcome.kind, outcome.answer);
      return;
    case "refused":
      writeOwnAnswer(response, serviceUnavailable, requestId, {
        outcome: "refused",
        reason: outcome.reason,
        notRun: true,
        message: "the request was not run; send it again after the time in Retry-After",
        retryAfterMilliseconds: outcome.retryAfterMilliseconds,
      });
      return;
    case "unknown":
      writeOwnAnswer(response, outcome.reason === "timeout" ? gatewayTimeout : badGateway, requestId, {
        outcome: "unknown",
        reason: outcome.reason,
        notRun: undefined,
        message: "the request may have run",
      });
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

function writeAnswer(
  response: ServerResponse,
  requestId: string,
  outcome: "answered" | "failed",
  answer: TargetAnswer,
): void {
  if (response.destroyed || response.headersSent) return;
  const kept = Object.entries(answer.headers).filter(([name]) => !connectionHeaders.has(name));
  response.writeHead(answer.status, {
    ...Object.fromEntries(kept),
    "content-length": String(answer.body.length),
    [outcomeHeader]: outcome,
    [requestIdHeader]: requestId,
  });
  response.end(answer.body);
}
