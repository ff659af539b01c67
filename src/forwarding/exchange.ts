/**
 * One request from this entry to one target and the whole answer back.
 * @packageDocumentation
 */
import { Agent, errors, type Dispatcher } from "undici";

/** A caller's request as it goes to a target. */
export interface TargetRequest {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

/** A whole answer of a target. */
export interface TargetAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer;
}

/** Why it is proved that nothing ran. */
export type NotStartedReason = "not-connected" | "refused-by-target";

/** Why nothing is known of the run. */
export type UnknownReason = "cut" | "timeout" | "cancelled" | "mismatched" | "oversized";

/** How an exchange ended. When it ends other than `answered`, its connection is gone. */
export type ExchangeResult =
  | { readonly kind: "answered"; readonly answer: TargetAnswer }
  | { readonly kind: "not-started"; readonly reason: NotStartedReason }
  | { readonly kind: "unknown"; readonly reason: UnknownReason };

/** Sends requests to targets. */
export interface TargetExchange {
  /**
   * Sends a request and waits for the whole answer.
   * @param address - `IP:port` of the target
   * @param request - the request
   * @param timeoutMilliseconds - when it is given up
   * @param signal - aborts when the caller cancelled
   * @returns how it ended; it never rejects
   */
  send(
    address: string,
    request: TargetRequest,
    timeoutMilliseconds: number,
    signal: AbortSignal,
  ): Promise<ExchangeResult>;
  /** Closes all connections. */
  close(): Promise<void>;
}

/** Settings of the exchange. */
export interface TargetExchangeOptions {
  /** Connections that this entry opens at most to one target. */
  readonly connectionsPerTarget: number;
  /** Larger answers are given up. */
  readonly maximumAnswerBytes: number;
}

/** Header by which a target says that it refused a request before it started. */
export const notStartedHeader = "x-not-started";
/** Header that names the request; a target sends it back in its answer. */
export const requestIdHeader = "x-request-id";

const connectTimeoutMilliseconds = 500;
const keepAliveMilliseconds = 10_000;
const serviceUnavailable = 503;
const tooManyRequests = 429;

/**
 * Creates an exchange.
 * @param options - bounds
 * @returns the exchange
 */
export function createTargetExchange(options: TargetExchangeOptions): TargetExchange {
  const agent = new Agent({
    connections: options.connectionsPerTarget,
    pipelining: 1,
    connect: { timeout: connectTimeoutMilliseconds },
    keepAliveTimeout: keepAliveMilliseconds,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  return {
    send: async (address, request, timeoutMilliseconds, signal) => {
      const timeout = AbortSignal.timeout(Math.max(0, timeoutMilliseconds));
      try {
        const response = await agent.request({
          origin: `http://${address}`,
          path: request.path,
          method: request.method,
          headers: { ...request.headers, [requestIdHeader]: request.requestId },
          body: request.body,
          signal: AbortSignal.any([timeout, signal]),
        });
        return await readAnswer(response, request.requestId, options.maximumAnswerBytes);
      } catch (error) {
        return classifyError(error, timeout.aborted, signal.aborted);
      }
    },
    close: async () => {
      await agent.destroy();
    },
  };
}

async function readAnswer(
  response: Dispatcher.ResponseData,
  requestId: string,
  maximumBytes: number,
): Promise<ExchangeResult> {
  if (response.headers[requestIdHeader] !== requestId) {
    response.body.on("error", () => undefined).destroy();
    return { kind: "unknown", reason: "mismatched" };
  }
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of response.body as AsyncIterable<Buffer>) {
    chunks.push(chunk);
    size += chunk.length;
    if (size > maximumBytes) return { kind: "unknown", reason: "oversized" };
  }
  const { statusCode: status } = response;
  const isRefusal = status === serviceUnavailable || status === tooManyRequests;
  if (isRefusal && response.headers[notStartedHeader] === "true") {
    return { kind: "not-started", reason: "refused-by-target" };
  }
  const headers = response.headers as Record<string, string | string[]>;
  return { kind: "answered", answer: { status, headers, body: Buffer.concat(chunks, size) } };
}

const notConnectedCodes = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH"]);

function classifyError(error: unknown, timedOut: boolean, cancelled: boolean): ExchangeResult {
  const { code } = error as { code?: string };
  const isNotConnected = code !== undefined && notConnectedCodes.has(code);
  if (isNotConnected || error instanceof errors.ConnectTimeoutError) {
    return { kind: "not-started", reason: "not-connected" };
  }
  if (cancelled) return { kind: "unknown", reason: "cancelled" };
  return { kind: "unknown", reason: timedOut ? "timeout" : "cut" };
}
