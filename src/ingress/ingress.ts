/**
 * Takes callers' HTTP requests.
 * @packageDocumentation
 */
import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { Left, type Either } from "purify-ts";
import type { ConfigurationKeeper } from "../configuration/index.js";
import type { Executor, OutcomeKind } from "../execution/index.js";
import type { TargetRequest } from "../forwarding/index.js";
import { createHttpService, delay, readBody, sendJson, type BodyFault } from "../shared/index.js";
import type { Metrics, Tracing } from "../telemetry/index.js";
import { parseRequest, type ParsedRequest, type Rejection } from "./parse-request.js";
import { writeOutcome, writeRejection } from "./write-outcome.js";

/** Takes callers' requests. */
export interface Ingress {
  /** Starts to listen; returns the port in use. */
  listen(host: string, port: number): Promise<number>;
  /** Requests in progress. */
  inProgress(): number;
  /** Stops being ready, lets the requests in progress end and stops listening. */
  close(): Promise<void>;
  /** Cuts every connection. */
  abort(): void;
}

/** An accepted request that has ended. */
export interface EndedRequest {
  readonly service: string;
  readonly operation: string;
  readonly team: string;
  readonly outcome: OutcomeKind;
  /** From acceptance to the end, queueing included. */
  readonly milliseconds: number;
}

/** What an ingress works with. */
export interface IngressParts {
  readonly configuration: ConfigurationKeeper;
  readonly executor: Executor;
  readonly metrics: Metrics;
  readonly tracing: Tracing;
  readonly maximumBodyBytes: number;
  /** How long the balancer may take to see that this entry is not ready. */
  readonly leaveMilliseconds: number;
  /** Called when an accepted request has ended. */
  onOutcome(ended: EndedRequest): void;
  /** Whether this entry can run requests. */
  isReady(): boolean;
}

const bodyTimeoutMilliseconds = 10_000;
const ok = 200;
const serviceUnavailable = 503;
const retryAfterMilliseconds = 1_000;

/**
 * Creates an ingress.
 * @param parts - what it works with
 * @returns the ingress, not yet listening
 */
export function createIngress(parts: IngressParts): Ingress {
  const service = createHttpService();
  let closing = false;
  let inProgress = 0;

  service.routes.get("/health", (_request, response) => {
    sendJson(response, ok, { alive: true });
  });
  service.routes.get("/ready", (_request, response) => {
    const ready = parts.isReady() && !closing;
    sendJson(response, ready ? ok : serviceUnavailable, { ready });
  });
  service.routes.all("/services/:service/:operation", async (request, response) => {
    inProgress += 1;
    response.once("close", () => {
      inProgress -= 1;
    });
    await handleRequest(parts, request, response);
  });

  return {
    listen: async (host, port) => service.listen(host, port),
    inProgress: () => inProgress,
    close: async () => {
      closing = true;
      await delay(parts.leaveMilliseconds);
      await service.close();
    },
    abort: () => {
      service.abort();
    },
  };
}

type RoutedRequest = IncomingMessage & { params: Record<string, string> };

async function handleRequest(
  parts: IngressParts,
  request: RoutedRequest,
  response: ServerResponse,
): Promise<void> {
  const requestId = randomUUID();
  if (!parts.isReady()) {
    const refusal = { kind: "refused", reason: "not-ready", retryAfterMilliseconds, attempts: 0 } as const;
    writeOutcome(response, requestId, refusal);
    return;
  }
  const names = { service: request.params.service ?? "", operation: request.params.operation ?? "" };
  const accepted = await acceptRequest(parts, request, names);
  if (accepted.isLeft()) {
    const rejection = accepted.swap().unsafeCoerce();
    parts.metrics.count("rejections_total", { reason: rejection.reason });
    writeRejection(response, requestId, rejection);
    return;
  }
  const { parsed, body } = accepted.unsafeCoerce();
  const headers = parsed.headers;
  const target = { requestId, method: request.method ?? "POST", path: request.url ?? "/", headers, body };
  await runAccepted(parts, request, response, parsed, target);
}

async function acceptRequest(
  parts: IngressParts,
  request: RoutedRequest,
  names: { service: string; operation: string },
): Promise<Either<Rejection, { parsed: ParsedRequest; body: Buffer }>> {
  const parsed = parseRequest(request, names, parts.configuration);
  if (parsed.isLeft()) return Left(parsed.swap().unsafeCoerce());
  const body = await readBody(request, parts.maximumBodyBytes, bodyTimeoutMilliseconds);
  return body.mapLeft(describeBodyFault).map((bytes) => ({ parsed: parsed.unsafeCoerce(), body: bytes }));
}

async function runAccepted(
  parts: IngressParts,
  request: IncomingMessage,
  response: ServerResponse,
  parsed: ParsedRequest,
  target: TargetRequest,
): Promise<void> {
  const { tracing, executor, metrics } = parts;
  const { service, operation, team, urgency, timeoutMilliseconds } = parsed;
  const { requestId } = target;
  const startedAt = Date.now();
  const deadlineAt = startedAt + timeoutMilliseconds;
  const cancelled = new AbortController();
  response.on("close", () => {
    if (!response.writableFinished) cancelled.abort();
  });
  const attributes = { service: service.name, operation: operation.name, request: requestId };
  const caller = tracing.extract(request.headers);
  const outcome = await tracing.within("request", caller, attributes, async (trace) =>
    executor.run({ service, operation, team, urgency, deadlineAt, target, trace }, cancelled.signal),
  );
  metrics.count("answers_total", { service: service.name, outcome: outcome.kind });
  const milliseconds = Date.now() - startedAt;
  parts.onOutcome({
    service: service.name,
    operation: operation.name,
    team,
    outcome: outcome.kind,
    milliseconds,
  });
  writeOutcome(response, requestId, outcome);
}

function describeBodyFault(fault: BodyFault): Rejection {
  switch (fault) {
    case "too-large":
      return { status: 413, reason: "body-too-large", message: "the body is larger than this entry accepts" };
    case "too-slow":
      return { status: 408, reason: "body-too-slow", message: "the body did not arrive in time" };
    case "cut":
      return { status: 400, reason: "body-cut", message: "the connection ended within the body" };
  }
}
