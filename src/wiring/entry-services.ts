/**
 * Auxiliary services of an entry that accepts jobs: readiness, metrics and load measurement.
 * @packageDocumentation
 */
import type { PeerNetwork } from "../membership/index.js";
import { createHttpService, sendJson, type ConnectionLimits, type HttpService } from "../shared/index.js";
import {
  createLoopDelayProbe,
  followLink,
  readLinkUse,
  type Log,
  type LoopDelayProbe,
  type Metrics,
} from "../telemetry/index.js";

/** Limits of the auxiliary services, which have one or a few clients with one connection each. */
const auxiliaryLimits: ConnectionLimits = {
  maximumConnections: 64,
  maximumRequestsPerConnection: 8,
  maximumHeldBytes: 4_194_304,
};

/**
 * Starts to measure the event loop delay and the traffic of this process.
 * @param log - receives each window in which the event loop was delayed
 * @param metrics - receives all measurements, including the traffic with peers
 * @param peers - source of the byte counts of the links to other entries
 * @returns the running probe; it must be closed
 */
export function startLoadProbe(log: Log, metrics: Metrics, peers: PeerNetwork): LoopDelayProbe {
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
 * Creates the readiness service that the load balancer polls. It responds with status 200 or 503 on every path.
 * @param isReady - whether the balancer may send callers to this entry now; called for each poll
 * @returns the service, not yet listening
 */
export function createReadinessService(isReady: () => boolean): HttpService {
  const service = createHttpService({ limits: auxiliaryLimits });
  service.routes.all("/*", (_request, response) => {
    const ready = isReady();
    sendJson(response, ready ? 200 : 503, { ready });
  });
  return service;
}

/**
 * Creates the service that exposes metrics at `/metrics` in the Prometheus text format.
 * @param metrics - registry that is read on each request
 * @returns the service, not yet listening
 */
export function createMetricsService(metrics: Metrics): HttpService {
  const service = createHttpService({ limits: auxiliaryLimits });
  service.routes.get("/metrics", (_request, response) => {
    response.setHeader("content-type", "text/plain; version=0.0.4");
    response.end(metrics.expose());
  });
  return service;
}
