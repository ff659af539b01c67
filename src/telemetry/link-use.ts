/**
 * Network traffic of the process by kind of peer. Requests of callers are not counted.
 * @packageDocumentation
 */
import type { Metrics } from "./metrics.js";

/** Kinds of peers that a process exchanges messages with; values of the metric's label `with`. */
export type LinkPeer = (typeof linkPeers)[number];

/** Direction of traffic, from the point of view of this process. */
export type LinkDirection = "sent" | "received";

/** Counts the bytes exchanged with one kind of peer. */
export interface LinkMeter {
  /** Counts a sent message; its header is estimated. */
  sent(bodyBytes: number): void;
  /** Counts a received message; its header is estimated. */
  received(bodyBytes: number): void;
}

/** Bytes of all messages since the process started, including the estimate for headers. */
export interface LinkUse {
  readonly bytesSent: number;
  readonly bytesReceived: number;
}

const linkPeers = ["targets", "store", "peers", "machines", "advice"] as const;
const metricName = "link_bytes_total";
/** Estimated bytes for the header of a message and its packet overhead. */
const headerBytes = 200;

/**
 * Creates a meter for messages of which only the size of the body is known; it adds an estimate for the header.
 * @param metrics - registry of the traffic counters
 * @param peer - kind of peer at the other end
 * @returns the meter; meters of the same kind of peer add to the same counters
 */
export function createLinkMeter(metrics: Metrics, peer: LinkPeer): LinkMeter {
  const sent = metrics.counter(metricName, createLabels(peer, "sent"));
  const received = metrics.counter(metricName, createLabels(peer, "received"));
  return {
    sent: (bodyBytes) => {
      sent.add(bodyBytes + headerBytes);
    },
    received: (bodyBytes) => {
      received.add(bodyBytes + headerBytes);
    },
  };
}

/**
 * Exposes byte counts that another component keeps. They replace what a meter of the same kind of peer has counted.
 * @param metrics - registry of the traffic counters
 * @param peer - kind of peer at the other end
 * @param read - functions that return the total bytes per direction, called whenever the metric is read
 */
export function followLink(
  metrics: Metrics,
  peer: LinkPeer,
  read: Readonly<Record<LinkDirection, () => number>>,
): void {
  metrics.follow(metricName, read.sent, createLabels(peer, "sent"));
  metrics.follow(metricName, read.received, createLabels(peer, "received"));
}

/**
 * Sums the traffic with all kinds of peers.
 * @param metrics - registry of the traffic counters
 * @returns the total bytes per direction since the process started
 */
export function readLinkUse(metrics: Metrics): LinkUse {
  const sum = (direction: LinkDirection): number =>
    linkPeers.reduce((total, peer) => total + metrics.value(metricName, createLabels(peer, direction)), 0);
  return { bytesSent: sum("sent"), bytesReceived: sum("received") };
}

function createLabels(peer: LinkPeer, direction: LinkDirection): Record<string, string> {
  return { with: peer, direction };
}
