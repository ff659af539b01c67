/**
 * Decides which entries take pools first. Answers fleets of unequal entries: an owner's decisions are the work of one
 * process, so that owners go where there is most room for them.
 * @packageDocumentation
 */
import { rendezvousOrder } from "../shared/index.js";

/** An entry that could take a pool. */
export interface OwnerCandidate {
  readonly entryId: string;
  /** How much work it can do, in cores. */
  readonly capacityCores: number;
  /** Owners that it holds. */
  readonly ownedPools: number;
}

/**
 * Orders entries for an owner without holder: first the one that would have most capacity for each of its owners.
 * @param pool - the pool that needs an owner
 * @param candidates - the entries
 * @returns identifiers of the entries, the first to take it at the front
 */
export function orderForOwnership(pool: string, candidates: readonly OwnerCandidate[]): string[] {
  const load = new Map(candidates.map((each) => [each.entryId, (each.ownedPools + 1) / each.capacityCores]));
  const order = rendezvousOrder(
    pool,
    candidates.map(({ entryId }) => entryId),
  );
  return order.sort((left, right) => (load.get(left) ?? 0) - (load.get(right) ?? 0));
}

/** Entries with at least this share of the largest capacity do work that only one entry does at a time. */
const largeCapacityShare = 0.5;

/**
 * Finds the entries that are large enough for work that one entry does for the whole fleet.
 * @param entries - the entries with their capacity in cores
 * @returns identifiers of the large ones
 */
export function findLargeEntries(entries: ReadonlyMap<string, number>): string[] {
  const largest = Math.max(0, ...entries.values());
  return [...entries]
    .filter(([, capacity]) => capacity >= largest * largeCapacityShare)
    .map(([entryId]) => entryId);
}
