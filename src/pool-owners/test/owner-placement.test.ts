/**
 * The order in which entries take pools, without a network.
 * @packageDocumentation
 */
import { expect, test } from "vitest";
import { findLargeEntries, orderForOwnership, type OwnerCandidate } from "../index.js";

const pools = ["presses", "benders", "rollers", "cutters", "shared"];

/** Assigns the pools one after the other; returns the owning entry of each. */
function assignPools(capacities: ReadonlyMap<string, number>): string[] {
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

test("no small entry owns a pool while a large one owns none", () => {
  const small = Array.from({ length: 33 }, (_, index) => [`small-${index}`, 0.324] as const);
  const large = Array.from({ length: 10 }, (_, index) => [`large-${index}`, 1.35] as const);
  const holders = assignPools(new Map([...small, ...large]));
  expect(new Set(holders).size).toBe(5);
  expect(holders.every((holder) => holder.startsWith("large"))).toBe(true);
});

test("among entries of equal size, each takes one pool before any takes a second", () => {
  const holders = assignPools(new Map(["a", "b", "c", "d", "e"].map((entryId) => [entryId, 0.675])));
  expect(new Set(holders).size).toBe(5);
});

test("a large entry takes pools until its load per core reaches that of the small entries", () => {
  const holders = assignPools(
    new Map([
      ["large", 1.35],
      ["small-1", 0.324],
      ["small-2", 0.324],
    ]),
  );
  expect(holders.filter((holder) => holder === "large")).toHaveLength(4);
});

test("work that one entry does for the whole fleet goes to a large entry", () => {
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
