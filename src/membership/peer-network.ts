/**
 * The other entries: connections to all of the roster, heartbeats, calls and failure detection.
 * @packageDocumentation
 */
import Emittery from "emittery";
import { Left, type Either } from "purify-ts";
import type { Log } from "../telemetry/index.js";
import type { PeerCall } from "./messages.js";
import { createPeerLink, type PeerFailure, type PeerLink, type PeerState } from "./peer-link.js";
import { createPeerListener, type PeerAnswer } from "./peer-listener.js";
import type { RosterRecord } from "./roster.js";

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
  /** Reads a number of a peer's last heartbeat; 0 when none was heard. */
  reported(peerId: string, name: string): number;
  /** Identifiers of the peers that answer. */
  upPeers(): string[];
  /** What is known of each peer. */
  peers(): { peerId: string; state: PeerState; heardAt: number }[];
  /** Starts to listen; returns the port in use. */
  listen(host: string, port: number): Promise<number>;
  /** Opens links to the entries of the roster and closes those to others. */
  follow(roster: readonly RosterRecord[]): void;
  close(): Promise<void>;
}

const heartbeatMilliseconds = 250;

/** Who this entry is towards its peers. */
export interface PeerIdentity {
  readonly entryId: string;
  readonly incarnation: number;
  readonly zone: string;
}

/**
 * Creates the network of this entry.
 * @param self - who this entry is
 * @param log - takes events
 * @returns the network, not yet listening and without peers
 */
export function createPeerNetwork(self: PeerIdentity, log: Log): PeerNetwork {
  const events = new Emittery<PeerNetworkEvents>();
  const links = new Map<string, { link: PeerLink; record: RosterRecord }>();
  const reports = new Map<string, () => number>();
  const heard = new Map<string, Readonly<Record<string, number>>>();

  const onHeartbeat = (peerId: string, values: Readonly<Record<string, number>>): void => {
    heard.set(peerId, values);
    void events.emit("heartbeat", { peerId });
  };
  const listener = createPeerListener(onHeartbeat, log);

  const sendHeartbeat = (): void => {
    const values = Object.fromEntries([...reports].map(([name, read]) => [name, read()]));
    const frame = { kind: "heartbeat" as const, entryId: self.entryId, reports: values };
    for (const { link } of links.values()) link.send(frame);
    // The peers' own links hear of this entry through what it sends back on them.
    listener.broadcast(frame);
  };

  const open = (record: RosterRecord): void => {
    const link = createPeerLink({
      peerId: record.entryId,
      address: record.peerAddress,
      hello: { kind: "hello", ...self },
      onState: (state) => {
        log.write("info", "peer-state", { peer: record.entryId, state });
        void events.emit("peerState", { peerId: record.entryId, state });
      },
    });
    links.set(record.entryId, { link, record });
  };

  const drop = (peerId: string): void => {
    links.get(peerId)?.link.close();
    links.delete(peerId);
    heard.delete(peerId);
  };

  const follow = (roster: readonly RosterRecord[]): void => {
    const others = roster.filter(({ entryId }) => entryId !== self.entryId);
    const wanted = new Map(others.map((record) => [record.entryId, record]));
    for (const [peerId, { record }] of [...links]) {
      const next = wanted.get(peerId);
      if (next?.incarnation !== record.incarnation || next.peerAddress !== record.peerAddress) drop(peerId);
    }
    for (const record of others) {
      if (!links.has(record.entryId)) open(record);
    }
  };

  const timer = setInterval(sendHeartbeat, heartbeatMilliseconds);
  return {
    events,
    answer: (definition, answer) => {
      listener.answer(definition, answer);
    },
    call: async (peerId, definition, request, timeoutMilliseconds) => {
      const found = links.get(peerId);
      if (found !== undefined) return found.link.call(definition, request, timeoutMilliseconds);
      return Left({ kind: "not-connected", message: `${peerId} is not in the roster` });
    },
    report: (name, read) => {
      reports.set(name, read);
    },
    reported: (peerId, name) => heard.get(peerId)?.[name] ?? 0,
    upPeers: () => [...links].filter(([, { link }]) => link.state() === "up").map(([peerId]) => peerId),
    peers: () =>
      [...links.values()].map(({ link }) => ({
        peerId: link.peerId,
        state: link.state(),
        heardAt: link.heardAt(),
      })),
    listen: async (host, port) => listener.listen(host, port),
    follow,
    close: async () => {
      clearInterval(timer);
      for (const peerId of [...links.keys()]) drop(peerId);
      events.clearListeners();
      await listener.close();
    },
  };
}
