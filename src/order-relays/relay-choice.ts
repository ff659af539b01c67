/**
 * Chooses the entries that relay an owner's orders to its targets. A large pool needs more calls than one process can
 * make, so each relay carries the orders for a few targets in its availability zone. Entries that own no pool are
 * preferred, which leaves the other entries their processor time for decisions.
 * @packageDocumentation
 */
import { weightedRendezvousOrder, type WeightedMember } from "../shared/index.js";

/** An entry that could relay orders. */
export interface RelayCandidate {
  readonly entryId: string;
  readonly zone: string;
  /** Capacity of the entry, in cores. */
  readonly capacityCores: number;
  /** Whether the entry owns a pool. */
  readonly holdsOwner: boolean;
}

/** Inputs of the choice. */
export interface RelayChoiceInput {
  /** The entry whose owners send the orders. */
  readonly ownerEntryId: string;
  readonly targetId: string;
  /** The target's availability zone; empty when it is not known. */
  readonly zone: string;
  /** Number of targets that the owners on that entry have in the zone. */
  readonly targetsInZone: number;
  /** The reachable entries without `ownerEntryId`. */
  readonly candidates: readonly RelayCandidate[];
}

/** Targets of one owner for each relay. */
const targetsPerRelay = 8;

/**
 * Chooses the relays of a target by weighted rendezvous hashing, so that a change of entries moves few targets.
 * @param input - the target and the candidates
 * @returns identifiers of the entries in order of preference; those after the first are fallbacks
 */
export function chooseRelays(input: RelayChoiceInput): string[] {
  const { ownerEntryId, targetId, targetsInZone } = input;
  const near = findNear(input);
  const relayCount = Math.max(1, Math.ceil(targetsInZone / targetsPerRelay));
  const ordered = weightedRendezvousOrder(ownerEntryId, near.map(toWeighted));
  const chosen = new Set(ordered.slice(0, relayCount));
  const relays = near.filter(({ entryId }) => chosen.has(entryId));
  const forTarget = weightedRendezvousOrder(targetId, relays.map(toWeighted));
  return [...forTarget, ...ordered.slice(relayCount)];
}

/**
 * Keeps the entries that own no pool, if there are any, and of those the ones in the target's zone, if there are any.
 */
function findNear({ zone, candidates }: RelayChoiceInput): readonly RelayCandidate[] {
  const free = candidates.filter(({ holdsOwner }) => !holdsOwner);
  const usable = free.length > 0 ? free : candidates;
  const near = usable.filter((candidate) => candidate.zone === zone);
  return near.length > 0 ? near : usable;
}

function toWeighted({ entryId, capacityCores }: RelayCandidate): WeightedMember {
  return { id: entryId, weight: capacityCores };
}
