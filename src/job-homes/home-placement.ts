/**
 * Decides which entries take homes first. Answers fleets of unequal entries: a home's decisions are the work of one
 * process, so that homes go where there is most room for them.
 * @packageDocumentation
 */
import { rendezvousOrder } from "../shared/index.js";

/** An entry that could take a home. */
export interface HomeCandidate {
  readonly entryId: string;
  /** How much work it can do, in cores. */
  readonly capacityCores: number;
  /** Homes that it holds. */
  readonly homes: number;
}

/**
 * Orders entries for a home without holder: first the one that would have most capacity for each of its homes.
 * @param pool - the pool that needs a home
 * @param candidates - the entries
 * @returns identifiers of the entries, the first to take it at the front
 */
export function orderForHome(pool: string, candidates: readonly HomeCandidate[]): string[] {
  const load = new Map(candidates.map((each) => [each.entryId, (each.homes + 1) / each.capacityCores]));
  const order = rendezvousOrder(
    pool,
    candidates.map(({ entryId }) => entryId),
  );
  return order.sort((left, right) => (load.get(left) ?? 0) - (load.get(right) ?? 0));
}

/** Entries with at least this share of the largest capacity do work that only one entry does at a time. */
const largeShare = 0.5;

/**
 * Finds the entries that are large enough for work that one entry does for the whole fleet.
 * @param entries - the entries with their capacity in cores
 * @returns identifiers of the large ones
 */
export function findLargeEntries(entries: ReadonlyMap<string, number>): string[] {
  const largest = Math.max(0, ...entries.values());
  return [...entries].filter(([, capacity]) => capacity >= largest * largeShare).map(([entryId]) => entryId);
}
