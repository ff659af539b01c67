/**
 * Parses and validates the path and headers of a caller's HTTP request.
 * @packageDocumentation
 */
import type { IncomingMessage } from "node:http";
import { Left, Right, type Either } from "purify-ts";
import type {
  ConfigurationKeeper,
  OperationConfiguration,
  ServiceConfiguration,
} from "../configuration/index.js";
import type { Urgency } from "../routing/index.js";
import { callerHeaders, type RejectionReason } from "./messages.js";

/** Parameters of a request, from its path and headers. */
export interface ParsedRequest {
  readonly service: ServiceConfiguration;
  readonly operation: OperationConfiguration;
  readonly team: string;
  readonly urgency: Urgency;
  readonly timeoutMilliseconds: number;
  readonly idempotencyKey: string | undefined;
  /** End-to-end headers that are forwarded to the target. */
  readonly headers: Readonly<Record<string, string>>;
}

/** Error answer to a request that was not accepted. */
export interface Rejection {
  readonly status: number;
  readonly reason: RejectionReason;
  readonly message: string;
}

const badRequest = 400;
const notFound = 404;
const maximumTimeoutMilliseconds = 600_000;
const maximumKeyLength = 255;
const defaultTeam = "default";

/**
 * Parses a request's path and headers.
 * @param request - the HTTP request
 * @param route - service and operation from its path
 * @param configuration - the configuration in force
 * @returns the request's parameters, or the rejection of an invalid request
 */
export function parseRequest(
  request: IncomingMessage,
  route: { readonly service: string; readonly operation: string },
  configuration: ConfigurationKeeper,
): Either<Rejection, ParsedRequest> {
  const service = configuration.service(route.service);
  if (service === undefined) return reject("unknown-service", `service "${route.service}" does not exist`);
  const operation = configuration.operation(service, route.operation);
  if (operation === undefined) {
    return reject("unknown-operation", `service "${service.name}" has no operation "${route.operation}"`);
  }
  return readTimeout(request, service).chain((timeoutMilliseconds) =>
    readUrgency(request).chain((urgency) =>
      readTeam(request, configuration).chain((team) =>
        readIdempotencyKey(request).map((idempotencyKey) => ({
          service,
          operation,
          team,
          urgency,
          timeoutMilliseconds,
          idempotencyKey,
          headers: selectHeaders(request),
        })),
      ),
    ),
  );
}

function reject<Value>(reason: RejectionReason, message: string): Either<Rejection, Value> {
  const status = reason === "unknown-service" || reason === "unknown-operation" ? notFound : badRequest;
  return Left({ status, reason, message });
}

function readHeader(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value.join(",") : value;
}

function readTimeout(request: IncomingMessage, service: ServiceConfiguration): Either<Rejection, number> {
  const text = readHeader(request, callerHeaders.timeout);
  if (text === undefined) return Right(service.deadlineMilliseconds);
  const value = /^\d{1,9}$/.test(text) ? Number(text) : 0;
  if (value >= 1 && value <= maximumTimeoutMilliseconds) return Right(value);
  const range = `1 to ${maximumTimeoutMilliseconds}`;
  return reject("bad-timeout", `${callerHeaders.timeout} must be a whole number from ${range}`);
}

function readUrgency(request: IncomingMessage): Either<Rejection, Urgency> {
  const text = readHeader(request, callerHeaders.urgency) ?? "normal";
  if (text === "urgent" || text === "normal") return Right(text);
  return reject("bad-urgency", `${callerHeaders.urgency} must be "urgent" or "normal"`);
}

function readTeam(request: IncomingMessage, configuration: ConfigurationKeeper): Either<Rejection, string> {
  const name = readHeader(request, callerHeaders.team);
  if (name === undefined) return Right(defaultTeam);
  const teams = configuration.current()?.text.teams ?? [];
  if (teams.some((team) => team.name === name)) return Right(name);
  return reject("bad-team", `team "${name}" does not exist`);
}

function readIdempotencyKey(request: IncomingMessage): Either<Rejection, string | undefined> {
  const key = readHeader(request, callerHeaders.idempotencyKey);
  if (key === undefined) return Right(undefined);
  if (key.length <= maximumKeyLength && /^[\x21-\x7e]+$/.test(key)) return Right(key);
  const expected = `1 to ${maximumKeyLength} visible ASCII characters`;
  return reject("bad-idempotency-key", `${callerHeaders.idempotencyKey} must be ${expected}`);
}

const hopByHopHeaders = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "host",
  "content-length",
  "expect",
  "traceparent",
  "tracestate",
]);

function selectHeaders(request: IncomingMessage): Record<string, string> {
  const listed = (request.headers.connection ?? "").toLowerCase().split(/\s*,\s*/);
  const pairs = Object.entries(request.headers).flatMap(([name, value]) => {
    if (value === undefined || hopByHopHeaders.has(name) || listed.includes(name)) return [];
    return [[name, Array.isArray(value) ? value.join(",") : value]];
  });
  return Object.fromEntries(pairs) as Record<string, string>;
}
