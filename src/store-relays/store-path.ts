/**
 * Decides whether this entry calls the store directly or through another entry. This handles a store, or a network,
 * that rejects single entries while it serves the others: without a path to the store an entry loses its lease, its
 * pools and its configuration within seconds, although all of them could be kept.
 * @packageDocumentation
 */
import type { StoreFailure } from "../store/index.js";

/** The path of calls to the store. All times are monotonic, in milliseconds. */
export interface StorePath {
  /** Whether calls go through other entries now. */
  usesPeers(now: number): boolean;
  /** Notes the result of a direct call: its failure, or undefined when the store answered. */
  noteDirect(failure: StoreFailure | undefined, now: number): void;
  /** Whether the direct path should be probed now. After true, the next probe is due an interval later. */
  beginProbe(now: number): boolean;
  /**
   * Chooses entries for one call.
   * @param candidates - the other entries, in an order that differs between entries
   * @param now - monotonic time in milliseconds
   * @returns the entries to try one after the other; the last one that had a path comes first
   */
  choosePeers(candidates: readonly string[], now: number): readonly string[];
  /** Notes whether an entry had a path to the store. */
  notePeer(peerId: string, hasPath: boolean, now: number): void;
  /** Notes that no tried entry had a path: the store is down for all entries. */
  noteNoPeer(now: number): void;
}

/** The direct path counts as lost when consecutive failed calls reach this total weight. */
const lostThreshold = 4;
const failureWeight = 2;
/** Lower, because an overloaded store rejects all entries alike and still serves some of their calls. */
const overBudgetWeight = 1;
/** Interval of probes of a lost direct path. */
const probeMilliseconds = 500;
/** How long an entry that had no path is not called. */
const avoidMilliseconds = 2_000;
/** Pause before calls go through other entries again after none of them had a path; spares a store that is down. */
const noPeerMilliseconds = 1_000;
const maximumPeersTried = 3;

/**
 * Creates a path that begins as direct.
 * @returns the path
 */
export function createStorePath(): StorePath {
  let weight = 0;
  let probedAt = Number.NEGATIVE_INFINITY;
  let peersAgainAt = Number.NEGATIVE_INFINITY;
  let preferredPeer: string | undefined;
  const avoidedUntil = new Map<string, number>();

  const isLost = (): boolean => weight >= lostThreshold;
  return {
    usesPeers: (now) => isLost() && now >= peersAgainAt,
    noteDirect: (failure, now) => {
      const wasLost = isLost();
      weight = failure === undefined ? 0 : weight + weightOf(failure);
      if (isLost() && !wasLost) probedAt = now;
    },
    beginProbe: (now) => {
      if (!isLost() || now - probedAt < probeMilliseconds) return false;
      probedAt = now;
      return true;
    },
    choosePeers: (candidates, now) => {
      const free = candidates.filter((peerId) => (avoidedUntil.get(peerId) ?? 0) <= now);
      const preferred = free.filter((peerId) => peerId === preferredPeer);
      return [...preferred, ...free.filter((peerId) => peerId !== preferredPeer)].slice(0, maximumPeersTried);
    },
    notePeer: (peerId, hasPath, now) => {
      if (hasPath) preferredPeer = peerId;
      else avoidedUntil.set(peerId, now + avoidMilliseconds);
    },
    noteNoPeer: (now) => {
      peersAgainAt = now + noPeerMilliseconds;
      avoidedUntil.clear();
    },
  };
}

function weightOf({ kind }: StoreFailure): number {
  if (kind === "over-budget") return overBudgetWeight;
  return kind === "unavailable" || kind === "timeout" ? failureWeight : 0;
}
