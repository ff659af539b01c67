/**
 * How much of its link a process uses, by whom it speaks to. Callers' requests are not among it.
 * @packageDocumentation
 */
import type { Metrics } from "./metrics.js";

/** Whom a process speaks to. */
export type LinkPeer = (typeof linkPeers)[number];

/** Which way bytes went. */
export type LinkDirection = "sent" | "received";

/** Counts the bytes exchanged with one kind of peer. */
export interface LinkMeter {
  /** Notes a message that was written, by the size of its body. */
  sent(bodyBytes: number): void;
  /** Notes a message that was read, by the size of its body. */
  received(bodyBytes: number): void;
}

/** Bytes of all messages so far. */
export interface LinkUse {
  readonly bytesSent: number;
  readonly bytesReceived: number;
}

const linkPeers = ["targets", "store", "peers", "machines", "advice"] as const;
const metricName = "link_bytes_total";
/** What a message's header and the packets around it take, about. */
const headerBytes = 200;

/**
 * Creates a meter for messages that count with an estimate for their header.
 * @param metrics - where bytes are counted
 * @param peer - whom the messages are exchanged with
 * @returns the meter
 */
export function createLinkMeter(metrics: Metrics, peer: LinkPeer): LinkMeter {
  const sent = metrics.counter(metricName, describe(peer, "sent"));
  const received = metrics.counter(metricName, describe(peer, "received"));
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
 * Takes the bytes exchanged with a kind of peer from whoever counts them.
 * @param metrics - where they are shown
 * @param peer - whom they are exchanged with
 * @param read - tells the bytes so far
 */
export function followLink(
  metrics: Metrics,
  peer: LinkPeer,
  read: Readonly<Record<LinkDirection, () => number>>,
): void {
  metrics.follow(metricName, read.sent, describe(peer, "sent"));
  metrics.follow(metricName, read.received, describe(peer, "received"));
}

/**
 * Sums the bytes exchanged with all kinds of peers.
 * @param metrics - where they are counted
 * @returns the bytes so far
 */
export function readLinkUse(metrics: Metrics): LinkUse {
  const sum = (direction: LinkDirection): number =>
    linkPeers.reduce((total, peer) => total + metrics.value(metricName, describe(peer, direction)), 0);
  return { bytesSent: sum("sent"), bytesReceived: sum("received") };
}

function describe(peer: LinkPeer, direction: LinkDirection): Record<string, string> {
  return { with: peer, direction };
}
