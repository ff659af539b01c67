/**
 * Which entries take pools, played without a network.
 * @packageDocumentation
 */
import { expect, test } from "vitest";
import { findLargeEntries, orderForOwnership, type OwnerCandidate } from "../index.js";

const pools = ["presses", "benders", "rollers", "cutters", "shared"];

/** Gives the owners away one after the other; returns the holder of each. */
function placeOwners(capacities: ReadonlyMap<string, number>): string[] {
  const counts = new Map<string, number>();
  return pools.map((pool) => {
    const candidates = [...capacities].map(([entryId, capacityCores]): OwnerCandidate => ({
      entryId,
      capacityCores,
      ownedPools: counts.get(entryId) ?? 0,
    }));
    const holder = orderForOwnership(pool, candidates)[0] ?? "";
    counts.set(holder, (counts.get(holder) ?? 0) + 1);
    return holder;
  });
}

test("no owner lies on a small entry while a large one has none", () => {
  const small = Array.from({ length: 33 }, (_, index) => [`small-${index}`, 0.324] as const);
  const large = Array.from({ length: 10 }, (_, index) => [`large-${index}`, 1.35] as const);
  const holders = placeOwners(new Map([...small, ...large]));
  expect(new Set(holders).size).toBe(5);
  expect(holders.every((holder) => holder.startsWith("large"))).toBe(true);
});

test("among like entries each takes a pool before any takes a second", () => {
  const holders = placeOwners(new Map(["a", "b", "c", "d", "e"].map((entryId) => [entryId, 0.675])));
  expect(new Set(holders).size).toBe(5);
});

test("one large entry takes pools up to the load of the small ones", () => {
  const holders = placeOwners(
    new Map([
      ["large", 1.35],
      ["small-1", 0.324],
      ["small-2", 0.324],
    ]),
  );
  expect(holders.filter((holder) => holder === "large")).toHaveLength(4);
});

test("work that one entry does for all goes to a large one", () => {
  expect(
    findLargeEntries(
      new Map([
        ["a", 0.3],
        ["b", 1.3],
        ["c", 1.2],
      ]),
    ),
  ).toEqual(["b", "c"]);
});
