/**
 * Which entries can relay orders now, and through which of them the orders for each target go.
 * @packageDocumentation
 */
import type { PeerNetwork } from "../membership/index.js";
import type { TargetIdentity } from "../task-runs/index.js";
import { chooseRelays, type RelayCandidate } from "./relay-choice.js";

/** What the directory works with. */
export interface RelayDirectoryOptions {
  readonly entryId: string;
  readonly peers: PeerNetwork;
  /** The entries of the member list, this one among them. */
  readonly entries: () => readonly RelayCandidate[];
}

/** Knows the relays. */
export interface RelayDirectory {
  /** Entries through which orders for a target go, the best first; empty when this entry sends them itself. */
  relaysFor(target: TargetIdentity): readonly string[];
  /** A relay did not take orders: it is left out for a while. */
  avoid(entryId: string): void;
  /** An order for a target brought no answer through a relay: further ones take another path for a while. */
  passOver(targetId: string, entryId: string): void;
}

const refreshMilliseconds = 100;
const avoidMilliseconds = 1_000;
/** A target goes back to the relay that was chosen for it after so long. */
const passOverMilliseconds = 30_000;
/** A target that got no order for so long is not counted any more. */
const forgetMilliseconds = 10_000;
/** Owners with so few targets send all orders themselves, which saves the path through another entry. */
const ownTargets = 12;

/**
 * Creates a directory.
 * @param options - the entries and the links to them
 * @returns the directory
 */
export function createRelayDirectory(options: RelayDirectoryOptions): RelayDirectory {
  const avoidedUntil = new Map<string, number>();
  const targets = new Map<string, { readonly zone: string; usedAt: number }>();
  const passedOver = new Map<string, { readonly paths: number; readonly until: number }>();
  let chosen = new Map<string, readonly string[]>();
  let zoneCounts = new Map<string, number>();
  let candidates: readonly RelayCandidate[] = [];
  let refreshedAt = Number.NEGATIVE_INFINITY;

  const refresh = (now: number): void => {
    if (now - refreshedAt < refreshMilliseconds) return;
    refreshedAt = now;
    for (const [targetId, { usedAt }] of targets) {
      if (now - usedAt > forgetMilliseconds) targets.delete(targetId);
    }
    for (const [targetId, { until }] of passedOver) if (until < now) passedOver.delete(targetId);
    zoneCounts = countByZone([...targets.values()]);
    candidates = findCandidates(options, avoidedUntil, now);
    chosen = new Map();
  };

  /** An owner that was just taken meets all its targets at once, so that a new one counts before the next refresh. */
  const noteUse = (targetId: string, zone: string, now: number): void => {
    if (!targets.has(targetId)) zoneCounts.set(zone, (zoneCounts.get(zone) ?? 0) + 1);
    targets.set(targetId, { zone, usedAt: now });
  };

  return {
    relaysFor: ({ targetId, availabilityZone: zone }) => {
      const now = performance.now();
      noteUse(targetId, zone, now);
      refresh(now);
      if (targets.size <= ownTargets) return [];
      const known = chosen.get(targetId);
      if (known !== undefined) return known;
      const { entryId: ownerEntryId } = options;
      const targetsInZone = zoneCounts.get(zone) ?? 1;
      const question = { ownerEntryId, targetId, zone, targetsInZone, candidates };
      const relays = skipPaths(chooseRelays(question), passedOver.get(targetId)?.paths ?? 0);
      chosen.set(targetId, relays);
      return relays;
    },
    avoid: (entryId) => {
      avoidedUntil.set(entryId, performance.now() + avoidMilliseconds);
      refreshedAt = Number.NEGATIVE_INFINITY;
    },
    passOver: (targetId, entryId) => {
      // Of several orders that fail on one path, the first has the next one taken.
      if (chosen.get(targetId)?.[0] !== entryId) return;
      const paths = (passedOver.get(targetId)?.paths ?? 0) + 1;
      passedOver.set(targetId, { paths, until: performance.now() + passOverMilliseconds });
      chosen.delete(targetId);
    },
  };
}

/** The ways in turn, the last of which is that of this entry itself. */
function skipPaths(relays: readonly string[], paths: number): readonly string[] {
  const skipped = paths % (relays.length + 1);
  return skipped === relays.length ? [] : [...relays.slice(skipped), ...relays.slice(0, skipped)];
}

function countByZone(targets: readonly { readonly zone: string }[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { zone } of targets) counts.set(zone, (counts.get(zone) ?? 0) + 1);
  return counts;
}

/** Entries that answer, or to which no link was needed so far. */
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
