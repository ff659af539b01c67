/**
 * Decides in which order entries take pools. Entries may differ in size, and all decisions of an owner are made by one
 * process, so that pools go to the entries with the most capacity left for them.
 * @packageDocumentation
 */
import { rendezvousOrder } from "../shared/index.js";

/** An entry that could take a pool. */
export interface OwnerCandidate {
  readonly entryId: string;
  /** Capacity in cores. */
  readonly capacityCores: number;
  /** Number of pools that it owns already. */
  readonly ownedPools: number;
}

/**
 * Orders the entries that could take a pool: first the one that would have the most capacity per owned pool. Entries with
 * the same capacity per pool are ordered by rendezvous hashing.
 * @param pool - the pool that needs an owner
 * @param candidates - the entries
 * @returns identifiers of the entries, with the one that takes the pool first at the front
 */
export function orderForOwnership(pool: string, candidates: readonly OwnerCandidate[]): string[] {
  const load = new Map(candidates.map((each) => [each.entryId, (each.ownedPools + 1) / each.capacityCores]));
  const order = rendezvousOrder(
    pool,
    candidates.map(({ entryId }) => entryId),
  );
  return order.sort((left, right) => (load.get(left) ?? 0) - (load.get(right) ?? 0));
}

/** Entries with at least this share of the largest entry's capacity may do work that one entry does for the whole fleet. */
const largeCapacityShare = 0.5;

/**
 * Finds the entries that are large enough for work that one entry does for the whole fleet.
 * @param entries - capacity in cores by entry identifier
 * @returns identifiers of the large entries
 */
export function findLargeEntries(entries: ReadonlyMap<string, number>): string[] {
  const largest = Math.max(0, ...entries.values());
  return [...entries]
    .filter(([, capacity]) => capacity >= largest * largeCapacityShare)
    .map(([entryId]) => entryId);
}
