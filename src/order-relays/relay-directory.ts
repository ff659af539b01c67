/**
 * Tracks which entries can relay orders, and assigns relays to targets.
 * @packageDocumentation
 */
import type { PeerNetwork } from "../membership/index.js";
import type { TargetIdentity } from "../task-runs/index.js";
import { chooseRelays, type RelayCandidate } from "./relay-choice.js";

/** Dependencies of the directory. */
export interface RelayDirectoryOptions {
  readonly entryId: string;
  readonly peers: PeerNetwork;
  /** Returns the entries of the member list, including this one. */
  readonly entries: () => readonly RelayCandidate[];
}

/** Assigns relays to targets. */
export interface RelayDirectory {
  /** Returns the relays for a target's orders, the preferred one first; empty when this entry sends them itself. */
  relaysFor(target: TargetIdentity): readonly string[];
  /** Excludes, for a while, a relay that did not accept orders. */
  avoid(entryId: string): void;
  /** Moves a target's further orders to the next path, after a relay got no answer from the target. */
  rerouteTarget(targetId: string, entryId: string): void;
}

/** Interval at which the choice of relays is recomputed. */
const refreshMilliseconds = 100;
/** How long a relay that did not accept orders is excluded. */
const avoidMilliseconds = 1_000;
/** After this time a rerouted target returns to its chosen relay. */
const rerouteMilliseconds = 30_000;
/** A target without orders for this long no longer counts as one of the owner's targets. */
const idleMilliseconds = 10_000;
/** With at most this many targets, an entry sends all orders itself, which saves the hop through a relay. */
const maximumDirectTargets = 12;

/**
 * Creates a directory without targets.
 * @param options - the entries and the links to them
 * @returns the directory
 */
export function createRelayDirectory(options: RelayDirectoryOptions): RelayDirectory {
  const avoidedUntil = new Map<string, number>();
  const targets = new Map<string, { readonly zone: string; usedAt: number }>();
  const rerouted = new Map<string, { readonly paths: number; readonly until: number }>();
  let chosen = new Map<string, readonly string[]>();
  let zoneCounts = new Map<string, number>();
  let candidates: readonly RelayCandidate[] = [];
  let refreshedAt = Number.NEGATIVE_INFINITY;

  const refresh = (now: number): void => {
    if (now - refreshedAt < refreshMilliseconds) return;
    refreshedAt = now;
    for (const [targetId, { usedAt }] of targets) {
      if (now - usedAt > idleMilliseconds) targets.delete(targetId);
    }
    for (const [targetId, { until }] of rerouted) if (until < now) rerouted.delete(targetId);
    zoneCounts = countByZone([...targets.values()]);
    candidates = findCandidates(options, avoidedUntil, now);
    chosen = new Map();
  };

  /**
   * Counts a new target at once rather than at the next refresh: a new owner sends orders to all its targets within one
   * refresh interval, and too low a count would give them all one relay.
   */
  const noteUse = (targetId: string, zone: string, now: number): void => {
    if (!targets.has(targetId)) zoneCounts.set(zone, (zoneCounts.get(zone) ?? 0) + 1);
    targets.set(targetId, { zone, usedAt: now });
  };

  return {
    relaysFor: ({ targetId, availabilityZone: zone }) => {
      const now = performance.now();
      noteUse(targetId, zone, now);
      refresh(now);
      if (targets.size <= maximumDirectTargets) return [];
      const known = chosen.get(targetId);
      if (known !== undefined) return known;
      const { entryId: ownerEntryId } = options;
      const targetsInZone = zoneCounts.get(zone) ?? 1;
      const input = { ownerEntryId, targetId, zone, targetsInZone, candidates };
      const relays = skipPaths(chooseRelays(input), rerouted.get(targetId)?.paths ?? 0);
      chosen.set(targetId, relays);
      return relays;
    },
    avoid: (entryId) => {
      avoidedUntil.set(entryId, performance.now() + avoidMilliseconds);
      refreshedAt = Number.NEGATIVE_INFINITY;
    },
    rerouteTarget: (targetId, entryId) => {
      // Only the first of several orders that fail on one path moves the target to the next path.
      if (chosen.get(targetId)?.[0] !== entryId) return;
      const paths = (rerouted.get(targetId)?.paths ?? 0) + 1;
      rerouted.set(targetId, { paths, until: performance.now() + rerouteMilliseconds });
      chosen.delete(targetId);
    },
  };
}

/** Rotates the paths by a number of failed ones. The last path is the direct one, for which the result is empty. */
function skipPaths(relays: readonly string[], paths: number): readonly string[] {
  const skipped = paths % (relays.length + 1);
  return skipped === relays.length ? [] : [...relays.slice(skipped), ...relays.slice(0, skipped)];
}

function countByZone(targets: readonly { readonly zone: string }[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { zone } of targets) counts.set(zone, (counts.get(zone) ?? 0) + 1);
  return counts;
}

/** Returns the other entries to which the link is up or was never needed, without the avoided ones. */
function findCandidates(
  { entryId, peers, entries }: RelayDirectoryOptions,
  avoidedUntil: ReadonlyMap<string, number>,
  now: number,
): RelayCandidate[] {
  const states = new Map(peers.peers().map(({ peerId, state }) => [peerId, state]));
  return entries().filter((entry) => {
    if (entry.entryId === entryId || (avoidedUntil.get(entry.entryId) ?? 0) > now) return false;
    const state = states.get(entry.entryId);
    return state === undefined || state === "up";
  });
}
