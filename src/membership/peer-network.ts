/**
 * The other entries: connections to them, heartbeats, calls and failure detection.
 * @packageDocumentation
 */
import Emittery from "emittery";
import type { Either } from "purify-ts";
import type { Log } from "../telemetry/index.js";
import { memberListCall, type Frame, type PeerCall, type MemberRecord } from "./messages.js";
import type { PeerFailure, PeerLink, PeerState } from "./peer-link.js";
import { createPeerLinks, type PeerIdentity } from "./peer-links.js";
import { createPeerListener, type PeerAnswer } from "./peer-listener.js";
import { createSeedDialler } from "./seeds.js";
import { createTicker } from "./ticker.js";

/** What the network reports. */
export interface PeerNetworkEvents {
  /** A heartbeat with new reports came from a peer. */
  heartbeat: { readonly peerId: string };
  /** What is known of a peer changed. */
  peerState: { readonly peerId: string; readonly state: PeerState };
}

/** The other entries. */
export interface PeerNetwork {
  readonly events: Emittery<PeerNetworkEvents>;
  /** Adds the answer to a call. */
  answer<Request, Reply>(definition: PeerCall<Request, Reply>, answer: PeerAnswer<Request, Reply>): void;
  /** Calls a peer. */
  call<Request, Reply>(
    peerId: string,
    definition: PeerCall<Request, Reply>,
    request: Request,
    timeoutMilliseconds: number,
  ): Promise<Either<PeerFailure, Reply>>;
  /** Adds a number to this entry's heartbeats. */
  report(name: string, read: () => number): void;
  /** Reads a number of a peer's last heartbeat; 0 when none was received. */
  reported(peerId: string, name: string): number;
  /** Identifiers of the peers that answer. */
  upPeers(): string[];
  /** What is known of each peer. */
  peers(): { peerId: string; state: PeerState; lastReceivedAt: number }[];
  /** Starts to listen; returns the port in use. */
  listen(host: string, port: number): Promise<number>;
  /** Bytes of all frames sent to peers so far. */
  bytesSent(): number;
  /** Bytes of all frames received from peers so far. */
  bytesReceived(): number;
  /** Asks the entry at an address for the member list that it knows; empty when nobody answers. */
  fetchRoster(address: string): Promise<MemberRecord[]>;
  /**
   * Opens links to the entries of the member list, to chosen ones when they are many. A link to an entry that is no longer
   * in the member list is kept while the entry speaks, since its lease may have ended in an outage of the store.
   */
  follow(memberList: readonly MemberRecord[]): void;
  close(): Promise<void>;
}

const heartbeatMilliseconds = 250;

/**
 * Creates the network of this entry.
 * @param self - who this entry is
 * @param log - takes events
 * @param maximumLinks - links to peers that are kept whether calls need them or not
 * @returns the network, not yet listening and without peers
 */
export function createPeerNetwork(self: PeerIdentity, log: Log, maximumLinks?: number): PeerNetwork {
  const events = new Emittery<PeerNetworkEvents>();
  const reports = new Map<string, () => number>();
  const received = new Map<string, Readonly<Record<string, number>>>();

  const createHeartbeat = (): Frame => {
    const values = Object.fromEntries([...reports].map(([name, read]) => [name, read()]));
    return { kind: "heartbeat", entryId: self.entryId, reports: values };
  };
  let lastHeartbeat = "";
  const createGreeting = (): Frame => {
    ticker.start();
    // The next heartbeat repeats the reports, since they may differ from this greeting's.
    lastHeartbeat = "";
    return createHeartbeat();
  };
  const listener = createPeerListener(createGreeting, log);
  const links = createPeerLinks(
    self,
    {
      onState: (peerId, state) => {
        log.write("info", "peer-state", { peer: peerId, state });
        void events.emit("peerState", { peerId, state });
      },
      onHeartbeat: (peerId, values) => {
        if (values !== undefined) received.set(peerId, values);
        void events.emit("heartbeat", { peerId });
      },
      onDropped: (peerId) => {
        received.delete(peerId);
      },
    },
    maximumLinks,
  );
  const seeds = createSeedDialler(self);

  // An entry without connections has nobody to speak to, and is not woken for it.
  const ticker = createTicker(heartbeatMilliseconds, () => {
    const heartbeat = createHeartbeat();
    const current = JSON.stringify(heartbeat);
    // Peers learn of this entry on the links that they opened to it, each of which began with all reports.
    listener.broadcast(current === lastHeartbeat ? { kind: "alive" } : heartbeat);
    lastHeartbeat = current;
    links.check();
    return links.all().length + listener.connections() > 0;
  });

  listener.answer(memberListCall, () => ({ records: links.members() }));
  return {
    events,
    answer: (definition, answer) => {
      listener.answer(definition, answer);
    },
    call: async (peerId, definition, request, timeoutMilliseconds) => {
      const reply = links.call(peerId, definition, request, timeoutMilliseconds);
      ticker.start();
      return reply;
    },
    report: (name, read) => {
      reports.set(name, read);
    },
    reported: (peerId, name) => received.get(peerId)?.[name] ?? 0,
    upPeers: () =>
      links
        .all()
        .filter((link) => link.state() === "up")
        .map(({ peerId }) => peerId),
    peers: () => links.all().map((each) => describePeer(each)),
    bytesSent: () => links.bytesSent() + listener.bytesSent(),
    bytesReceived: () => links.bytesReceived() + listener.bytesReceived(),
    fetchRoster: async (address) => seeds.fetchRoster(address),
    listen: async (host, port) => listener.listen(host, port),
    follow: (memberList) => {
      links.follow(memberList);
      if (links.all().length > 0) ticker.start();
    },
    close: async () => {
      ticker.close();
      links.close();
      events.clearListeners();
      await listener.close();
    },
  };
}

function describePeer(link: PeerLink): { peerId: string; state: PeerState; lastReceivedAt: number } {
  return { peerId: link.peerId, state: link.state(), lastReceivedAt: link.lastReceivedAt() };
}
