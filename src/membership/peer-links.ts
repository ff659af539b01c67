/**
 * The links of this entry: to the peers chosen from the member list, and temporarily to other peers that it calls.
 * @packageDocumentation
 */
import { Left, type Either } from "purify-ts";
import { delay } from "../shared/index.js";
import type { PeerCall, MemberRecord } from "./messages.js";
import { createPeerLink, type PeerFailure, type PeerLink, type PeerState } from "./peer-link.js";
import { choosePeers, maximumPeerLinks } from "./selection.js";

/** Identity of this entry that it sends to its peers. */
export interface PeerIdentity {
  readonly entryId: string;
  /** Start time of the process, higher after each restart. */
  readonly incarnation: number;
  readonly zone: string;
}

/** Callbacks of the links. */
export interface PeerLinksHandlers {
  onState(peerId: string, state: PeerState): void;
  onHeartbeat(peerId: string, reports?: Readonly<Record<string, number>>): void;
  /** Called when a link was closed and removed. */
  onDropped(peerId: string): void;
}

/** The open links of this entry. */
export interface PeerLinks {
  all(): PeerLink[];
  /** Records of the entries in the member list. */
  members(): MemberRecord[];
  /** Opens and closes links to match a new member list. */
  follow(memberList: readonly MemberRecord[]): void;
  /** Detects silent peers and closes unused links; has to be called at regular intervals. */
  check(): void;
  /** Calls a peer, over a new link when there is none; the timeout covers opening it. */
  call<Request, Reply>(
    peerId: string,
    definition: PeerCall<Request, Reply>,
    request: Request,
    timeoutMilliseconds: number,
  ): Promise<Either<PeerFailure, Reply>>;
  bytesSent(): number;
  bytesReceived(): number;
  close(): void;
}

interface OpenLink {
  readonly link: PeerLink;
  readonly record: MemberRecord;
  /** Time of the last call over the link in milliseconds of the monotonic clock; 0 before the first. */
  calledAt: number;
}

/** Links that were opened for a call are closed after this time without another call. */
const idleLinkMilliseconds = 30_000;
const connectPollMilliseconds = 5;

/**
 * Creates an empty set of links.
 * @param self - identity that this entry sends to its peers
 * @param handlers - callbacks for states, heartbeats and removed links
 * @param maximumLinks - number of links kept open even without calls
 * @returns the links
 */
export function createPeerLinks(
  self: PeerIdentity,
  handlers: PeerLinksHandlers,
  maximumLinks = maximumPeerLinks,
): PeerLinks {
  const links = new Map<string, OpenLink>();
  let members = new Map<string, MemberRecord>();
  let chosen = new Set<string>();
  const byteCounter = createByteCounter(links);
  let isClosed = false;

  const open = (record: MemberRecord): OpenLink => {
    const peerId = record.entryId;
    const link = createPeerLink({
      peerId,
      address: record.peerAddress,
      hello: { kind: "hello", ...self },
      onState: (state) => {
        handlers.onState(peerId, state);
      },
      onHeartbeat: (reports) => {
        handlers.onHeartbeat(peerId, reports);
      },
    });
    const opened = { link, record, calledAt: 0 };
    links.set(peerId, opened);
    return opened;
  };

  const drop = (peerId: string): void => {
    const dropped = links.get(peerId);
    links.delete(peerId);
    if (dropped === undefined) return;
    byteCounter.addClosedLink(dropped.link);
    dropped.link.close();
    handlers.onDropped(peerId);
  };

  const dropUnused = (): void => {
    for (const [peerId, opened] of [...links]) {
      if (members.has(peerId) ? !chosen.has(peerId) && isIdle(opened) : !isConnected(opened)) drop(peerId);
    }
  };

  const follow = (memberList: readonly MemberRecord[]): void => {
    if (isClosed) return;
    members = new Map(memberList.map((record) => [record.entryId, record]));
    chosen = new Set(choosePeers(memberList, self, maximumLinks));
    for (const [peerId, { record }] of [...links]) {
      if (isSuccessor(members.get(peerId), record)) drop(peerId);
    }
    dropUnused();
    for (const peerId of chosen) {
      const record = members.get(peerId);
      if (record !== undefined && !links.has(peerId)) open(record);
    }
  };

  return {
    all: () => [...links.values()].map(({ link }) => link),
    members: () => [...members.values()],
    follow,
    check: () => {
      for (const { link } of links.values()) link.checkSilence();
      dropUnused();
    },
    call: async (peerId, definition, request, timeoutMilliseconds) => {
      const record = members.get(peerId);
      const used =
        links.get(peerId) ?? (record === undefined || peerId === self.entryId ? undefined : open(record));
      if (used === undefined) {
        return Left({ kind: "not-connected", message: `${peerId} is not in the member list` });
      }
      used.calledAt = performance.now();
      const remainingMilliseconds = await waitUntilOpened(used.link, timeoutMilliseconds);
      return used.link.call(definition, request, remainingMilliseconds);
    },
    ...byteCounter.totals,
    close: () => {
      isClosed = true;
      members = new Map();
      for (const peerId of [...links.keys()]) drop(peerId);
    },
  };
}

function isConnected({ link }: OpenLink): boolean {
  return link.state() === "up" || link.state() === "suspect";
}

function isIdle({ calledAt }: OpenLink): boolean {
  return performance.now() - calledAt > idleLinkMilliseconds;
}

/** Sums the bytes of all links, including closed ones. */
function createByteCounter(links: ReadonlyMap<string, OpenLink>): {
  addClosedLink(dropped: PeerLink): void;
  readonly totals: Pick<PeerLinks, "bytesSent" | "bytesReceived">;
} {
  let sent = 0;
  let received = 0;
  return {
    addClosedLink: (dropped) => {
      sent += dropped.bytesSent();
      received += dropped.bytesReceived();
    },
    totals: {
      bytesSent: () => [...links.values()].reduce((sum, { link }) => sum + link.bytesSent(), sent),
      bytesReceived: () =>
        [...links.values()].reduce((sum, { link }) => sum + link.bytesReceived(), received),
    },
  };
}

/** Waits until a new link is open or has failed; returns the remaining milliseconds of the timeout. */
async function waitUntilOpened(link: PeerLink, timeoutMilliseconds: number): Promise<number> {
  if (link.state() !== "connecting") return timeoutMilliseconds;
  const deadlineAt = performance.now() + timeoutMilliseconds;
  while (link.state() === "connecting" && performance.now() < deadlineAt)
    await delay(connectPollMilliseconds);
  return Math.max(0, deadlineAt - performance.now());
}

/** Returns whether a record belongs to a later process, or to the same process at another address. */
function isSuccessor(next: MemberRecord | undefined, current: MemberRecord): boolean {
  if (next === undefined) return false;
  if (next.incarnation !== current.incarnation) return next.incarnation > current.incarnation;
  return next.peerAddress !== current.peerAddress;
}
