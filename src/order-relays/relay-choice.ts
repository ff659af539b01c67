/**
 * Chooses the entries through which an owner's orders go to its targets. Answers a pool whose calls are more than one process
 * can make: each relay carries the orders for a few targets, near them, and entries that own pools keep their time for
 * decisions.
 * @packageDocumentation
 */
import { weightedRendezvousOrder, type WeightedMember } from "../shared/index.js";

/** An entry that could send orders. */
export interface RelayCandidate {
  readonly entryId: string;
  readonly zone: string;
  /** How much work it can do, in cores. */
  readonly capacityCores: number;
  readonly holdsOwner: boolean;
}

/** What a choice depends on. */
export interface RelayQuestion {
  /** The entry whose owners give the orders. */
  readonly ownerEntryId: string;
  readonly targetId: string;
  /** Where the target is; empty when that is not known. */
  readonly zone: string;
  /** How many targets the owners of that entry have in the zone. */
  readonly targetsInZone: number;
  /** Entries that answer, the asking one left out. */
  readonly candidates: readonly RelayCandidate[];
}

/** So many targets of one owner share a relay. */
const targetsPerRelay = 8;

/**
 * Chooses the relay of a target.
 * @param question - the target and the entries
 * @returns identifiers of the entries, the chosen one first, then those that stand in for it
 */
export function chooseRelays(question: RelayQuestion): string[] {
  const { ownerEntryId, targetId, targetsInZone } = question;
  const near = findNear(question);
  const relayCount = Math.max(1, Math.ceil(targetsInZone / targetsPerRelay));
  const ordered = weightedRendezvousOrder(ownerEntryId, near.map(toWeighted));
  const chosen = new Set(ordered.slice(0, relayCount));
  const relays = near.filter(({ entryId }) => chosen.has(entryId));
  const forTarget = weightedRendezvousOrder(targetId, relays.map(toWeighted));
  return [...forTarget, ...ordered.slice(relayCount)];
}

/** Entries of the target's zone go before others, and those that owns no pool before those with some. */
function findNear({ zone, candidates }: RelayQuestion): readonly RelayCandidate[] {
  const free = candidates.filter(({ holdsOwner }) => !holdsOwner);
  const usable = free.length > 0 ? free : candidates;
  const near = usable.filter((candidate) => candidate.zone === zone);
  return near.length > 0 ? near : usable;
}

function toWeighted({ entryId, capacityCores }: RelayCandidate): WeightedMember {
  return { id: entryId, weight: capacityCores };
}
