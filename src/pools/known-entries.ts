/**
 * The entries that may send to targets: those of the member list and those that were heard. An entry is remembered beyond
 * its member record, since the record's lease also lapses in an outage of the store that the entry survives.
 * @packageDocumentation
 */
import type { PeerNetwork } from "../membership/index.js";

/** Remembers entries and when each was last heard. */
export interface KnownEntries {
  /** Identifiers of all entries that may send, this one included. */
  all(): readonly string[];
  /** Identifiers of the entries that majorities are counted of, this one included. */
  voters(): readonly string[];
  /** Whether the store's member list lists an entry now. */
  isListed(entryId: string): boolean;
  /** For how long this entry has not heard another one, in milliseconds. */
  silence(entryId: string): number;
  /** Whether no process listens at the entry's address. */
  isGone(entryId: string): boolean;
  /** Notes that an entry was heard now. */
  noteReceived(entryId: string): void;
}

/** What the memory works with. */
export interface KnownEntriesParts {
  readonly entryId: string;
  readonly peers: PeerNetwork;
  /** Identifiers in the store's member list as last read. */
  readonly listed: () => readonly string[];
  /** The time in milliseconds since the epoch. */
  readonly now: () => number;
}

/** Silence after which an entry without member record no longer counts in majorities. */
export const voterSilenceMilliseconds = 30_000;
/** Silence after which it is forgotten; longer than any request that it may still have in progress. */
export const forgetMilliseconds = 620_000;

/**
 * Creates the memory and starts to listen for heartbeats.
 * @param parts - what it works with
 * @returns the memory
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
    // A link to a new address says more than a refusal of the old one; without a link the last refusal counts.
    const peer = peers.peers().find(({ peerId }) => peerId === entryId);
    return peer === undefined ? refusedEntries.has(entryId) : peer.state === "gone";
  };

  const isExpired = (entryId: string, silenceMilliseconds: number): boolean => {
    const listed = parts.listed();
    // A member list without this entry itself is one that an outage emptied.
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
