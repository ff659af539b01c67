/**
 * HTTP services on restana with a graceful shutdown that lets requests in progress finish.
 * @packageDocumentation
 */
import http, { type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import restana, { type Protocol, type Service } from "restana";
import { ConnectionLedger, type CloseReason, type ConnectionLimits } from "./connection-ledger.js";
import { createRequestAccount, unlimitedAccount, type RequestAccount } from "./request-account.js";

/** Options of a service. */
export interface HttpServiceOptions {
  /** Limits of the connections and of what they hold; {@link defaultConnectionLimits} by default. */
  readonly limits?: ConnectionLimits;
  /** Called when a connection is closed because a limit is reached. */
  readonly onClosed?: (reason: CloseReason, connection: Socket) => void;
  /** Answers a request for which there is no memory; the default answer is 503 with a retry time of one second. */
  readonly refuse?: (response: ServerResponse) => void;
}

/** A listening HTTP service. */
export interface HttpService {
  /** Router of the service; routes may be added before and after it listens. */
  readonly routes: Service<Protocol.HTTP>;
  /** The Node.js server, for features that restana does not cover. */
  readonly listener: http.Server;
  /** What the connections use now. */
  readonly ledger: Pick<ConnectionLedger<Socket>, "connections" | "openRequests" | "heldBytes">;
  /** Returns the account of a request that a route handles. */
  accountOf(request: IncomingMessage): RequestAccount;
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

/** Limits for services with a few known clients. */
export const defaultConnectionLimits: ConnectionLimits = {
  maximumConnections: Number.POSITIVE_INFINITY,
  maximumRequestsPerConnection: Number.POSITIVE_INFINITY,
  maximumHeldBytes: 67_108_864,
};
const serviceUnavailable = 503;
const headerFieldsTooLarge = 431;
/** Header lines of a request; the runtime keeps each as two strings, however short they are. */
const maximumHeaderLines = 64;
/** Memory of a string of a header besides its characters. */
const headerStringBytes = 48;
/** Interval at which the runtime looks for requests whose header or body is late. */
const connectionCheckMilliseconds = 1_000;

/**
 * Creates an HTTP service without routes.
 * @param options - limits, and what happens when one is reached
 * @returns the service, not yet listening
 */
export function createHttpService(options: HttpServiceOptions = {}): HttpService {
  const listener = http.createServer({
    keepAliveTimeout: keepAliveMilliseconds,
    connectionsCheckingInterval: connectionCheckMilliseconds,
    noDelay: true,
  });
  // Lines beyond this number are dropped, so that a request with as many is refused.
  listener.maxHeadersCount = maximumHeaderLines;
  const routes = restana();
  const accounts = new WeakMap<IncomingMessage, RequestAccount>();
  const ledger = new ConnectionLedger<Socket>(options.limits ?? defaultConnectionLimits, (socket, reason) => {
    socket.destroy();
    options.onClosed?.(reason, socket);
  });
  const refuse = options.refuse ?? refuseForMemory;
  let isClosing = false;
  listener.on("connection", (socket: Socket) => {
    ledger.open(socket);
    socket.once("close", () => {
      ledger.remove(socket);
    });
  });
  listener.on("request", (request: IncomingMessage, response: ServerResponse) => {
    // A keep-alive connection would delay the close for as long as its peer sends requests.
    if (isClosing) response.setHeader("connection", "close");
    const { socket } = request;
    const verdict = ledger.beginRequest(socket);
    if (verdict === "no-memory") refuseAndClose(response, refuse);
    if (verdict !== "admitted") return;
    const account = createRequestAccount(ledger, socket, response);
    if (countHeaderLines(request) >= maximumHeaderLines) {
      refuseAndClose(response, refuseForHeaders);
      return;
    }
    if (!account.hold(measureHeaders(request))) {
      refuseAndClose(response, refuse);
      return;
    }
    accounts.set(request, account);
    setImmediate(() => {
      if (!socket.destroyed)
        routes.handle(
          request as Parameters<typeof routes.handle>[0],
          response as Parameters<typeof routes.handle>[1],
        );
    });
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
    ledger,
    accountOf: (request) => accounts.get(request) ?? unlimitedAccount,
    listen: async (host, port) => listenOn(listener, host, port),
    close,
    abort: () => {
      listener.close();
      listener.closeAllConnections();
    },
  };
}

function refuseForMemory(response: ServerResponse): void {
  sendJson(
    response,
    serviceUnavailable,
    { error: "the requests in progress use all memory" },
    { "retry-after": "1" },
  );
}

function refuseForHeaders(response: ServerResponse): void {
  sendJson(response, headerFieldsTooLarge, { error: "the request has too many header lines" });
}

function countHeaderLines({ rawHeaders }: IncomingMessage): number {
  return rawHeaders.length / 2;
}

/** Estimates the memory of a request's header in bytes. */
function measureHeaders({ rawHeaders }: IncomingMessage): number {
  return rawHeaders.reduce((sum, text) => sum + text.length + headerStringBytes, 0);
}

function refuseAndClose(response: ServerResponse, refuse: (response: ServerResponse) => void): void {
  response.setHeader("connection", "close");
  refuse(response);
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
