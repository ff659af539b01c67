/**
 * The entries that may send requests to targets: those in the member list and those from which messages were received.
 * An entry is kept after its member record is gone, because the record's lease also lapses in a store outage that the
 * entry itself survives.
 * @packageDocumentation
 */
import type { PeerNetwork } from "../membership/index.js";

/** Known entries and the time of the last message from each. */
export interface KnownEntries {
  /** Identifiers of all entries that may send requests, including this one. */
  all(): readonly string[];
  /** Identifiers of the entries that count in majorities, including this one. */
  voters(): readonly string[];
  /** Whether the last read member list contains an entry. */
  isListed(entryId: string): boolean;
  /** Milliseconds since the last message from another entry, or since the start of this one without any message. */
  silence(entryId: string): number;
  /** Whether the last connection to the entry was refused, so that no process listens at its address. */
  isGone(entryId: string): boolean;
  /** Records that a message from an entry was received now. */
  noteReceived(entryId: string): void;
}

/** Dependencies of {@link createKnownEntries}. */
export interface KnownEntriesParts {
  readonly entryId: string;
  readonly peers: PeerNetwork;
  /** Identifiers in the store's member list as last read. */
  readonly listed: () => readonly string[];
  /** Current time in milliseconds since the epoch. */
  readonly now: () => number;
}

/** Silence after which an entry without a member record no longer counts in majorities. */
export const voterSilenceMilliseconds = 30_000;
/** Silence after which an entry without a member record is forgotten; longer than any request it may have in progress. */
export const forgetMilliseconds = 620_000;

/**
 * Creates the list of known entries and subscribes to heartbeats and peer states.
 * @param parts - dependencies
 * @returns the list, with this entry and those of the member list
 */
export function createKnownEntries(parts: KnownEntriesParts): KnownEntries {
  const { entryId: self, peers, now } = parts;
  const startedAt = now();
  const lastReceivedAt = new Map<string, number>();
  const refusedEntries = new Set<string>();

  const noteReceived = (entryId: string): void => {
    refusedEntries.delete(entryId);
    lastReceivedAt.set(entryId, now());
  };
  const silence = (entryId: string): number => now() - (lastReceivedAt.get(entryId) ?? startedAt);

  const isGone = (entryId: string): boolean => {
    // The state of a connection, which may be to a new address, takes precedence over an earlier refusal of the old one.
    const peer = peers.peers().find(({ peerId }) => peerId === entryId);
    return peer === undefined ? refusedEntries.has(entryId) : peer.state === "gone";
  };

  const isExpired = (entryId: string, silenceMilliseconds: number): boolean => {
    const listed = parts.listed();
    // A member list without this entry itself was emptied by a store outage, so nothing expires by it.
    if (!listed.includes(self) || listed.includes(entryId)) return false;
    return isGone(entryId) || silence(entryId) > silenceMilliseconds;
  };

  const all = (): string[] => {
    const listed = parts.listed();
    for (const entryId of listed) {
      if (!lastReceivedAt.has(entryId)) lastReceivedAt.set(entryId, startedAt);
    }
    for (const entryId of [...lastReceivedAt.keys()]) {
      if (isExpired(entryId, forgetMilliseconds)) lastReceivedAt.delete(entryId);
    }
    return [...new Set([self, ...listed, ...lastReceivedAt.keys()])];
  };

  peers.events.on("heartbeat", ({ peerId }) => {
    noteReceived(peerId);
  });
  peers.events.on("peerState", ({ peerId, state }) => {
    if (state === "gone") refusedEntries.add(peerId);
    else refusedEntries.delete(peerId);
  });
  return {
    noteReceived,
    silence,
    isGone,
    isListed: (entryId) => parts.listed().includes(entryId),
    all,
    voters: () => all().filter((entryId) => !isExpired(entryId, voterSilenceMilliseconds)),
  };
}
