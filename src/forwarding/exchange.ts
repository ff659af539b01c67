/**
 * One request from this entry to one target and the whole answer back.
 * @packageDocumentation
 */
import { Agent } from "undici";
import { AnswerReader } from "./answer-reader.js";
import { requestIdHeader, type ExchangeResult, type TargetRequest } from "./messages.js";

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

const connectTimeoutMilliseconds = 500;
const keepAliveMilliseconds = 10_000;

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
      if (signal.aborted || timeoutMilliseconds <= 0) return { kind: "not-started", reason: "not-sent" };
      return new Promise((resolve) => {
        const finish = (result: ExchangeResult): void => {
          clearTimeout(timer);
          signal.removeEventListener("abort", cancel);
          resolve(result);
        };
        const reader = new AnswerReader(request, options.maximumAnswerBytes, finish);
        const cancel = (): void => {
          reader.giveUp("cancelled");
        };
        const timer = setTimeout(() => {
          reader.giveUp("timeout");
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
