/**
 * Sends one request from this entry to one target and reads the complete answer.
 * @packageDocumentation
 */
import { Agent } from "undici";
import { AnswerReader } from "./answer-reader.js";
import { requestIdHeader, type ExchangeResult, type TargetRequest } from "./messages.js";

/** Sends requests to targets. */
export interface TargetExchange {
  /**
   * Sends a request and waits for the complete answer.
   * @param address - `IP:port` of the target
   * @param request - the request
   * @param timeoutMilliseconds - time after which the exchange is aborted; at 0 or below nothing is sent
   * @param signal - aborted when the caller cancels
   * @returns the result; the promise never rejects
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

/** Options of {@link createTargetExchange}. */
export interface TargetExchangeOptions {
  /** Maximum number of connections from this entry to one target. */
  readonly connectionsPerTarget: number;
  /** An answer with a larger body is aborted as `oversized`. */
  readonly maximumAnswerBytes: number;
}

const connectTimeoutMilliseconds = 500;
const keepAliveMilliseconds = 10_000;

/**
 * Creates an exchange.
 * @param options - limits
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
      if (signal.aborted || timeoutMilliseconds <= 0) return { kind: "not-started", reason: "not-sent" };
      return new Promise((resolve) => {
        const finish = (result: ExchangeResult): void => {
          clearTimeout(timer);
          signal.removeEventListener("abort", cancel);
          resolve(result);
        };
        const reader = new AnswerReader(request, options.maximumAnswerBytes, finish);
        const cancel = (): void => {
          reader.abort("cancelled");
        };
        const timer = setTimeout(() => {
          reader.abort("timeout");
        }, timeoutMilliseconds);
        signal.addEventListener("abort", cancel);
        dispatch(agent, address, request, reader);
      });
    },
    close: async () => {
      await agent.destroy();
    },
  };
}

function dispatch(agent: Agent, address: string, request: TargetRequest, reader: AnswerReader): void {
  agent.dispatch(
    {
      origin: `http://${address}`,
      path: request.path,
      method: request.method,
      headers: { ...request.headers, [requestIdHeader]: request.requestId },
      body: request.body.length === 0 ? null : request.body,
    },
    reader,
  );
}
