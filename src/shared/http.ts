/**
 * HTTP services on restana with a graceful shutdown that lets requests in progress finish.
 * @packageDocumentation
 */
import http, { type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { setImmediate } from "node:timers/promises";
import { Left, Right, type Either } from "purify-ts";
import restana, { type Protocol, type Service } from "restana";

/** A listening HTTP service. */
export interface HttpService {
  /** Router of the service; routes may be added before and after it listens. */
  readonly routes: Service<Protocol.HTTP>;
  /** The Node.js server, for features that restana does not cover. */
  readonly listener: http.Server;
  /**
   * Starts to listen.
   * @param host - an IP address of this machine
   * @param port - the port; 0 selects a free one
   * @returns the port in use
   */
  listen(host: string, port: number): Promise<number>;
  /**
   * Stops listening and waits until the requests in progress have ended.
   * @returns a promise that resolves when every connection is closed
   */
  close(): Promise<void>;
  /** Stops listening and closes every connection at once, including those with requests in progress. */
  abort(): void;
}

/** Idle connections are kept open this long for further requests. */
const keepAliveMilliseconds = 60_000;
/** Interval at which a closing service closes the connections that have become idle. */
const closeSweepMilliseconds = 50;

/**
 * Creates an HTTP service without routes.
 * @returns the service, not yet listening
 */
export function createHttpService(): HttpService {
  const listener = http.createServer({ keepAliveTimeout: keepAliveMilliseconds, noDelay: true });
  const routes = restana({ server: listener });
  let isClosing = false;
  listener.prependListener("request", (_request, response: ServerResponse) => {
    // A keep-alive connection would delay the close for as long as its peer sends requests.
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
 * Sends a JSON response and ends it.
 * @param response - a response whose headers have not been sent
 * @param status - the HTTP status code
 * @param body - the value to serialize
 * @param headers - additional headers, which may also replace `content-type`
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

/**
 * Checks whether the sender of a request has closed its connection. A process that was paused reads a request and the end of
 * its connection together, the end in a later turn of the event loop; this waits for that turn.
 * @param request - a request that has been read
 * @returns true when no answer can reach the sender any more, or the sender has said that it sends nothing further
 */
export async function hasSenderLeft({ socket }: IncomingMessage): Promise<boolean> {
  // The first callback runs after the reads of this turn, the second one after those of the next.
  await setImmediate();
  await setImmediate();
  return socket.destroyed || socket.readableEnded;
}

/** Why a request body was not read: it exceeded the size, took too long, or the connection closed before its end. */
export type BodyFault = "too-large" | "too-slow" | "cut";

/**
 * Reads a request's whole body, limited in size and time.
 * @param request - a request whose body has not been read
 * @param maximumBytes - larger bodies give `too-large`
 * @param timeoutMilliseconds - bodies that take longer give `too-slow`
 * @returns the body, or the reason why it was not read
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
