/**
 * HTTP services on restana that can be closed without cutting a request.
 * @packageDocumentation
 */
import http, { type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { Left, Right, type Either } from "purify-ts";
import restana, { type Protocol, type Service } from "restana";

/** A listening HTTP service. */
export interface HttpService {
  /** Where routes are added. */
  readonly routes: Service<Protocol.HTTP>;
  /** The listening server, for what restana does not cover. */
  readonly listener: http.Server;
  /**
   * Starts to listen.
   * @param host - an IP address of this machine
   * @param port - the port, 0 for any free one
   * @returns the port in use
   */
  listen(host: string, port: number): Promise<number>;
  /**
   * Stops listening and waits until the requests in progress have ended.
   * @returns a promise that resolves when nothing is left open
   */
  close(): Promise<void>;
  /** Stops listening and cuts every connection at once. */
  abort(): void;
}

const keepAliveMilliseconds = 60_000;
const closeSweepMilliseconds = 50;

/**
 * Creates an HTTP service. Routes are added to it before or after it listens.
 * @returns the service, not yet listening
 */
export function createHttpService(): HttpService {
  const listener = http.createServer({ keepAliveTimeout: keepAliveMilliseconds, noDelay: true });
  const routes = restana({ server: listener });
  let isClosing = false;
  listener.prependListener("request", (_request, response: ServerResponse) => {
    // A connection that is kept alive would hold up the close for as long as its peer sends requests.
    if (isClosing) response.setHeader("connection", "close");
  });
  const close = async (): Promise<void> => {
    isClosing = true;
    const sweep = setInterval(() => {
      listener.closeIdleConnections();
    }, closeSweepMilliseconds);
    await new Promise<void>((resolve) => {
      listener.close(() => {
        resolve();
      });
    });
    clearInterval(sweep);
  };
  return {
    routes,
    listener,
    listen: async (host, port) => listenOn(listener, host, port),
    close,
    abort: () => {
      listener.close();
      listener.closeAllConnections();
    },
  };
}

async function listenOn(listener: http.Server, host: string, port: number): Promise<number> {
  await new Promise<void>((resolve, reject) => {
    listener.once("error", reject);
    listener.listen(port, host, resolve);
  });
  return (listener.address() as AddressInfo).port;
}

/**
 * Answers with JSON.
 * @param response - the open response
 * @param status - the HTTP status
 * @param body - what is sent
 * @param headers - further headers
 */
export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
  headers: Readonly<Record<string, string>> = {},
): void {
  const bytes = Buffer.from(JSON.stringify(body));
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": String(bytes.length),
    ...headers,
  });
  response.end(bytes);
}

/** Why a request body was not read. */
export type BodyFault = "too-large" | "too-slow" | "cut";

/**
 * Reads a request's whole body within bounds.
 * @param request - the open request
 * @param maximumBytes - larger bodies are refused
 * @param timeoutMilliseconds - slower bodies are refused
 * @returns the body or why it was not read
 */
export async function readBody(
  request: IncomingMessage,
  maximumBytes: number,
  timeoutMilliseconds: number,
): Promise<Either<BodyFault, Buffer>> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const finish = (result: Either<BodyFault, Buffer>): void => {
      clearTimeout(timer);
      request.removeAllListeners("data");
      resolve(result);
    };
    const timer = setTimeout(() => {
      finish(Left("too-slow"));
    }, timeoutMilliseconds);
    request.on("data", (chunk: Buffer) => {
      size += chunk.length;
      chunks.push(chunk);
      if (size > maximumBytes) finish(Left("too-large"));
    });
    request.once("end", () => {
      finish(Right(Buffer.concat(chunks, size)));
    });
    request.once("close", () => {
      finish(Left("cut"));
    });
  });
}
