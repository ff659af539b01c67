/**
 * HTTP server of an entry: accepts callers' requests, runs them and writes their answers.
 * @packageDocumentation
 */
import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { Left, Right, type Either } from "purify-ts";
import type { ConfigurationKeeper } from "../configuration/index.js";
import type { Executor, Outcome, OutcomeKind, RefusalReason } from "../execution/index.js";
import type { TargetRequest } from "../forwarding/index.js";
import { createHttpService, delay, readBody, sendJson, type BodyFault } from "../shared/index.js";
import type { Metrics, Tracing } from "../telemetry/index.js";
import { createBodyMemory, type BodyMemory } from "./body-memory.js";
import { parseRequest, type ParsedRequest, type Rejection } from "./parse-request.js";
import { describeParserFault, writeOutcome, writeRawRejection, writeRejection } from "./write-outcome.js";

/** HTTP server for callers' requests. */
export interface Ingress {
  /** Starts listening; returns the port in use. */
  listen(host: string, port: number): Promise<number>;
  /** Number of requests in progress. */
  inProgress(): number;
  /** Reports not ready, waits until the balancer has noticed it, lets the requests in progress end and stops listening. */
  close(): Promise<void>;
  /** Closes every connection at once, without waiting for requests in progress. */
  abort(): void;
}

/** An accepted request that has ended. */
export interface EndedRequest {
  readonly service: string;
  readonly operation: string;
  readonly team: string;
  readonly outcome: OutcomeKind;
  /** Time from acceptance to the end, including queueing. */
  readonly milliseconds: number;
}

/** Dependencies and limits of {@link createIngress}. */
export interface IngressParts {
  readonly configuration: ConfigurationKeeper;
  readonly executor: Executor;
  readonly metrics: Metrics;
  readonly tracing: Tracing;
  readonly maximumBodyBytes: number;
  /** Maximum memory for the bodies of all requests in this entry. */
  readonly bodyMemoryBytes: number;
  /** Time within which a body must arrive; 10 s by default. */
  readonly bodyTimeoutMilliseconds?: number;
  /** Time that the balancer may need to notice that this entry is not ready; `close` waits for it. */
  readonly leaveMilliseconds: number;
  /** Called when an accepted request has ended. */
  onOutcome(ended: EndedRequest): void;
  /** Whether this entry can run requests. */
  isReady(): boolean;
}

const defaultBodyTimeoutMilliseconds = 10_000;
const ok = 200;
const serviceUnavailable = 503;
const retryAfterMilliseconds = 1_000;

/**
 * Creates an ingress.
 * @param parts - dependencies and limits
 * @returns the ingress, not yet listening
 */
export function createIngress(parts: IngressParts): Ingress {
  const service = createHttpService();
  const memory = createBodyMemory(parts.bodyMemoryBytes);
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
    await handleRequest(parts, memory, request, response);
  });
  service.listener.on("clientError", (error: Error & { code?: string }, socket) => {
    const rejection = describeParserFault(error.code);
    parts.metrics.count("rejections_total", { reason: rejection.reason });
    writeRawRejection(socket, rejection);
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
  memory: BodyMemory,
  request: RoutedRequest,
  response: ServerResponse,
): Promise<void> {
  const requestId = randomUUID();
  if (!parts.isReady()) {
    writeOutcome(response, requestId, refuse("not-ready"));
    return;
  }
  const route = { service: request.params.service ?? "", operation: request.params.operation ?? "" };
  const accepted = parseRequest(request, route, parts.configuration).chain((parsed) =>
    readBodySize(request, parts.maximumBodyBytes).map((size) => ({ parsed, size })),
  );
  if (accepted.isLeft()) {
    reject(parts, response, requestId, accepted.swap().unsafeCoerce());
    return;
  }
  const { parsed, size } = accepted.unsafeCoerce();
  if (!memory.reserve(size)) {
    parts.metrics.count("refusals_total", { reason: "body-memory" });
    response.setHeader("connection", "close");
    writeOutcome(response, requestId, refuse("body-memory"));
    return;
  }
  response.once("close", () => {
    memory.release(size);
  });
  const timeout = parts.bodyTimeoutMilliseconds ?? defaultBodyTimeoutMilliseconds;
  const body = await readBody(request, parts.maximumBodyBytes, timeout);
  if (body.isLeft()) {
    refuseBody(parts, response, requestId, body.swap().unsafeCoerce());
    return;
  }
  const target = {
    requestId,
    method: request.method ?? "POST",
    path: request.url ?? "/",
    headers: parsed.headers,
    body: body.unsafeCoerce(),
  };
  const outcome = await runAccepted(parts, request, response, parsed, target);
  reserveAnswerMemory(memory, response, outcome);
  writeOutcome(response, requestId, outcome);
}

function refuse(reason: RefusalReason): Outcome {
  return { kind: "refused", reason, retryAfterMilliseconds, attempts: 0 };
}

function reject(
  parts: IngressParts,
  response: ServerResponse,
  requestId: string,
  rejection: Rejection,
): void {
  parts.metrics.count("rejections_total", { reason: rejection.reason });
  writeRejection(response, requestId, rejection);
}

/** Returns the memory to reserve for a body: its declared length, or the maximum when the length is unknown. */
function readBodySize(request: IncomingMessage, maximumBytes: number): Either<Rejection, number> {
  const { "content-length": length, "transfer-encoding": encoding } = request.headers;
  if (encoding !== undefined) return Right(maximumBytes);
  const size = Number(length ?? 0);
  return size > maximumBytes ? Left(describeBodyFault("too-large")) : Right(size);
}

function reserveAnswerMemory(memory: BodyMemory, response: ServerResponse, outcome: Outcome): void {
  if (response.destroyed || (outcome.kind !== "answered" && outcome.kind !== "failed")) return;
  const size = outcome.answer.body.length;
  memory.add(size);
  response.once("close", () => {
    memory.release(size);
  });
}

async function runAccepted(
  parts: IngressParts,
  request: IncomingMessage,
  response: ServerResponse,
  parsed: ParsedRequest,
  target: TargetRequest,
): Promise<Outcome> {
  const { tracing, executor, metrics } = parts;
  const { service, operation, team, urgency, timeoutMilliseconds, idempotencyKey } = parsed;
  const { requestId } = target;
  const startedAt = Date.now();
  const deadlineAt = startedAt + timeoutMilliseconds;
  const cancelled = new AbortController();
  response.on("close", () => {
    if (!response.writableFinished) cancelled.abort();
  });
  const attributes = { service: service.name, operation: operation.name, request: requestId };
  const callerContext = tracing.extract(request.headers);
  const outcome = await tracing.within("request", callerContext, attributes, async (trace) =>
    executor.run(
      { service, operation, team, urgency, deadlineAt, idempotencyKey, target, trace },
      cancelled.signal,
    ),
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
  return outcome;
}

/** The rest of the body is not read: the connection ends with the answer. */
function refuseBody(
  parts: IngressParts,
  response: ServerResponse,
  requestId: string,
  fault: BodyFault,
): void {
  if (!response.headersSent) response.setHeader("connection", "close");
  if (fault === "no-memory") {
    parts.metrics.count("refusals_total", { reason: "body-memory" });
    writeOutcome(response, requestId, refuse("body-memory"));
  } else reject(parts, response, requestId, describeBodyFault(fault));
}

function describeBodyFault(fault: Exclude<BodyFault, "no-memory">): Rejection {
  switch (fault) {
    case "too-large":
      return { status: 413, reason: "body-too-large", message: "the body is larger than this entry accepts" };
    case "too-slow":
      return { status: 408, reason: "body-too-slow", message: "the body did not arrive in time" };
    case "cut":
      return { status: 400, reason: "body-cut", message: "the connection ended within the body" };
  }
}
