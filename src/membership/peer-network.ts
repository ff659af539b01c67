/**
 * Network of the other entries: connections, heartbeats, calls and failure detection.
 * @packageDocumentation
 */
import Emittery from "emittery";
import type { Either } from "purify-ts";
import type { Log } from "../telemetry/index.js";
import { memberListCall, type Frame, type PeerCall, type MemberRecord } from "./messages.js";
import type { PeerFailure, PeerState } from "./peer-link.js";
import { createPeerLinks, type PeerIdentity } from "./peer-links.js";
import { createPeerListener, type PeerAnswer } from "./peer-listener.js";
import { createSeedDialler } from "./seeds.js";
import { createTicker } from "./ticker.js";

/** Events of the network. */
export interface PeerNetworkEvents {
  /** A heartbeat arrived from a peer, with new or repeated reports. */
  heartbeat: { readonly peerId: string };
  /** The state of a peer changed. */
  peerState: { readonly peerId: string; readonly state: PeerState };
}

/** Connections of this entry to the other entries. */
export interface PeerNetwork {
  readonly events: Emittery<PeerNetworkEvents>;
  /** Registers the handler of a call, replacing an earlier one. */
  answer<Request, Reply>(definition: PeerCall<Request, Reply>, answer: PeerAnswer<Request, Reply>): void;
  /** Calls a peer in the member list, over a new link if there is none; the timeout covers connecting. */
  call<Request, Reply>(
    peerId: string,
    definition: PeerCall<Request, Reply>,
    request: Request,
    timeoutMilliseconds: number,
  ): Promise<Either<PeerFailure, Reply>>;
  /** Adds a number to this entry's heartbeats; `read` is called for each heartbeat. */
  report(name: string, read: () => number): void;
  /** Returns a number from the last reports of a peer; 0 when the peer sent none with that name. */
  reported(peerId: string, name: string): number;
  /** Identifiers of the peers in state `up`. */
  upPeers(): string[];
  /** State of each peer that has a link; `lastReceivedAt` in milliseconds since the epoch, 0 before the first frame. */
  peers(): { peerId: string; state: PeerState; lastReceivedAt: number }[];
  /** Starts to listen; port 0 selects a free one. Returns the port in use. */
  listen(host: string, port: number): Promise<number>;
  /** Bytes of all frames sent to peers so far. */
  bytesSent(): number;
  /** Bytes of all frames received from peers so far. */
  bytesReceived(): number;
  /** Fetches the member list of the entry at an address (`IP:port`); empty when no entry responds. */
  fetchRoster(address: string): Promise<MemberRecord[]>;
  /**
   * Opens links to the entries of the member list; of many entries only to chosen ones. A link to an entry that is no
   * longer in the member list is kept while it is connected, since the entry's lease may have expired during an outage
   * of the store.
   */
  follow(memberList: readonly MemberRecord[]): void;
  /** Closes all links and stops listening. */
  close(): Promise<void>;
}

const heartbeatMilliseconds = 250;

/**
 * Creates the network of this entry.
 * @param self - identity that this entry sends to its peers
 * @param log - receives `peer-state` and `peer-connection-failed`
 * @param maximumLinks - number of links kept open even without calls; `maximumPeerLinks` by default
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
    // The next heartbeat must contain the reports, since they may differ from those in this greeting.
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

  // Without connections the ticker stops, so that an idle entry does not wake up for heartbeats.
  const ticker = createTicker(heartbeatMilliseconds, () => {
    const heartbeat = createHeartbeat();
    const current = JSON.stringify(heartbeat);
    // Heartbeats go out on the links that peers opened to this entry; each of these started with a greeting that
    // contains all reports, so unchanged ones need not be repeated.
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
    peers: () =>
      links.all().map((p) => ({ peerId: p.peerId, state: p.state(), lastReceivedAt: p.lastReceivedAt() })),
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
