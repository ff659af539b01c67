/**
 * Decides whether this entry's calls to the store go straight to it or through another entry. Answers a store, or a
 * network, that turns away single entries while it serves the others: without a path to the store an entry loses its lease,
 * its pools and its configuration within seconds, although all of them could be kept.
 * @packageDocumentation
 */
import type { StoreFailure } from "../store/index.js";

/** The path of calls to the store. */
export interface StorePath {
  /** Whether calls go through other entries now. */
  usesPeers(now: number): boolean;
  /** Takes how a straight call ended: its failure, or undefined when the store answered. */
  noteDirect(failure: StoreFailure | undefined, now: number): void;
  /** Whether it is time for a straight call that only finds out whether there is a path again; true once for each. */
  takeProbe(now: number): boolean;
  /**
   * Chooses entries for one call.
   * @param candidates - the other entries, in an order of this entry's own
   * @param now - the monotonic clock
   * @returns the entries to try in turn
   */
  choosePeers(candidates: readonly string[], now: number): readonly string[];
  /** Takes whether an entry had a path to the store. */
  notePeer(peerId: string, hasPath: boolean, now: number): void;
  /** No entry that was tried had one: the store is down for all. */
  noteNoPeer(now: number): void;
}

/** Straight calls that fail one after the other weigh so much until the path counts as lost. */
const lostWeight = 4;
const failureWeight = 2;
/** A store that is asked for too much refuses all entries alike, and some calls still succeed. */
const overBudgetWeight = 1;
const probeMilliseconds = 500;
const avoidMilliseconds = 2_000;
/** A store that is down for all is not asked through others again so soon. */
const noPeerMilliseconds = 1_000;
const mostPeersTried = 3;

/**
 * Creates a path that goes straight to the store.
 * @returns the path
 */
export function createStorePath(): StorePath {
  let weight = 0;
  let probedAt = Number.NEGATIVE_INFINITY;
  let peersAgainAt = Number.NEGATIVE_INFINITY;
  let used: string | undefined;
  const avoidedUntil = new Map<string, number>();

  const isLost = (): boolean => weight >= lostWeight;
  return {
    usesPeers: (now) => isLost() && now >= peersAgainAt,
    noteDirect: (failure, now) => {
      const wasLost = isLost();
      weight = failure === undefined ? 0 : weight + weigh(failure);
      if (isLost() && !wasLost) probedAt = now;
    },
    takeProbe: (now) => {
      if (!isLost() || now - probedAt < probeMilliseconds) return false;
      probedAt = now;
      return true;
    },
    choosePeers: (candidates, now) => {
      const free = candidates.filter((peerId) => (avoidedUntil.get(peerId) ?? 0) <= now);
      const first = free.filter((peerId) => peerId === used);
      return [...first, ...free.filter((peerId) => peerId !== used)].slice(0, mostPeersTried);
    },
    notePeer: (peerId, hasPath, now) => {
      if (hasPath) used = peerId;
      else avoidedUntil.set(peerId, now + avoidMilliseconds);
    },
    noteNoPeer: (now) => {
      peersAgainAt = now + noPeerMilliseconds;
      avoidedUntil.clear();
    },
  };
}

function weigh({ kind }: StoreFailure): number {
  if (kind === "over-budget") return overBudgetWeight;
  return kind === "unavailable" || kind === "timeout" ? failureWeight : 0;
}
