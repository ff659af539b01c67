/**
 * Stand-in for the platform's balancer: round robin over the entries that report that they are ready.
 * @packageDocumentation
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { Agent } from "undici";
import { createHttpService, delay, readBody, sendJson } from "../../shared/index.js";

/** A running balancer. */
export interface BalancerStandIn {
  readonly address: string;
  /** The entries that were ready at the last readiness check. */
  readyEntries(): readonly string[];
  close(): Promise<void>;
}

const probeMilliseconds = 100;
const probeTimeoutMilliseconds = 500;
const maximumBodyBytes = 16_777_216;
const bodyTimeoutMilliseconds = 30_000;

/**
 * Starts a balancer.
 * @param entries - request addresses of the entries, as `IP:port`
 * @param host - an IP address of this machine
 * @param port - the port, 0 for any free one
 * @returns the running balancer
 */
export async function startBalancerStandIn(
  entries: readonly string[],
  host = "127.0.0.1",
  port = 0,
): Promise<BalancerStandIn> {
  const agent = new Agent({ pipelining: 1, headersTimeout: 0, bodyTimeout: 0 });
  const stop = new AbortController();
  const ready = new Set<string>();
  let next = 0;

  const probe = async (entry: string): Promise<void> => {
    while (!stop.signal.aborted) {
      if (await isReady(agent, entry)) ready.add(entry);
      else ready.delete(entry);
      await delay(probeMilliseconds, stop.signal);
    }
  };

  const rotate = (): string[] => {
    const candidates = entries.filter((entry) => ready.has(entry));
    next += 1;
    const start = candidates.length === 0 ? 0 : next % candidates.length;
    return [...candidates.slice(start), ...candidates.slice(0, start)];
  };

  const service = createHttpService();
  service.routes.all("/services/:service/:operation", async (request, response) => {
    const body = await readBody(request, maximumBodyBytes, bodyTimeoutMilliseconds);
    if (body.isRight()) await forward(agent, rotate(), request, response, body.unsafeCoerce());
    else response.destroy();
  });
  const probes = entries.map(probe);
  const usedPort = await service.listen(host, port);
  return {
    address: `http://${host}:${usedPort}`,
    readyEntries: () => [...ready],
    close: async () => {
      stop.abort();
      const closed = service.close();
      service.abort();
      await Promise.all([closed, ...probes]);
      await agent.destroy();
    },
  };
}

async function isReady(agent: Agent, entry: string): Promise<boolean> {
  try {
    const signal = AbortSignal.timeout(probeTimeoutMilliseconds);
    const response = await agent.request({
      origin: `http://${entry}`,
      path: "/ready",
      method: "GET",
      signal,
    });
    await response.body.dump();
    return response.statusCode === 200;
  } catch {
    return false;
  }
}

async function forward(
  agent: Agent,
  entries: readonly string[],
  request: IncomingMessage,
  response: ServerResponse,
  body: Buffer,
): Promise<void> {
  const gone = new AbortController();
  response.on("close", () => {
    gone.abort();
  });
  for (const entry of entries) {
    try {
      const answer = await agent.request({
        origin: `http://${entry}`,
        path: request.url ?? "/",
        method: request.method ?? "GET",
        headers: dropConnectionHeaders(request.headers),
        body,
        signal: gone.signal,
      });
      const bytes = Buffer.from(await answer.body.arrayBuffer());
      response.writeHead(answer.statusCode, dropConnectionHeaders(answer.headers));
      response.end(bytes);
      return;
    } catch (error) {
      if ((error as { code?: string }).code === "ECONNREFUSED") continue;
      if (!response.destroyed) sendJson(response, 502, { error: "the entry did not answer" });
      return;
    }
  }
  sendJson(response, 503, { error: "no entry is ready" });
}

const connectionHeaders = new Set([
  "connection",
  "keep-alive",
  "transfer-encoding",
  "content-length",
  "host",
]);

function dropConnectionHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string | string[]> {
  return Object.fromEntries(
    Object.entries(headers).flatMap(([name, value]) =>
      value === undefined || connectionHeaders.has(name) ? [] : [[name, value]],
    ),
  );
}
