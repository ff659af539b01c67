/**
 * What an entry that takes jobs offers beside callers' requests: readiness, metrics, and how it is doing itself.
 * @packageDocumentation
 */
import type { PeerNetwork } from "../membership/index.js";
import { createHttpService, sendJson, type HttpService } from "../shared/index.js";
import {
  createLoopDelayProbe,
  followLink,
  readLinkUse,
  type Log,
  type LoopDelayProbe,
  type Metrics,
} from "../telemetry/index.js";

/**
 * Tells how late this process runs, and what it does meanwhile.
 * @param log - takes what is notable
 * @param metrics - takes the rest
 * @param peers - the links, whose bytes count
 * @returns the probe, running
 */
export function probeLoad(log: Log, metrics: Metrics, peers: PeerNetwork): LoopDelayProbe {
  followLink(metrics, "peers", {
    sent: () => peers.bytesSent(),
    received: () => peers.bytesReceived(),
  });
  return createLoopDelayProbe({
    log,
    metrics,
    use: () => ({
      ...readLinkUse(metrics),
      ordersInFlight: metrics.value("target_calls_in_flight"),
    }),
  });
}

/**
 * Creates the service that the balancer asks.
 * @param isReady - whether callers may be sent here now
 * @returns the service, not yet listening
 */
export function createReadiness(isReady: () => boolean): HttpService {
  const service = createHttpService();
  service.routes.all("/*", (_request, response) => {
    const ready = isReady();
    sendJson(response, ready ? 200 : 503, { ready });
  });
  return service;
}

/**
 * Creates the service from which metrics are read.
 * @param metrics - the metrics
 * @returns the service, not yet listening
 */
export function createMetricsService(metrics: Metrics): HttpService {
  const service = createHttpService();
  service.routes.get("/metrics", (_request, response) => {
    response.setHeader("content-type", "text/plain; version=0.0.4");
    response.end(metrics.expose());
  });
  return service;
}
