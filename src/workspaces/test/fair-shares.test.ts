/**
 * Fair shares of a pool: which workspaces are over their share, and when they are within it again.
 * @packageDocumentation
 */
import { expect, test } from "vitest";
import { divideCores } from "../divide-cores.js";
import { createFairShares, type FairShares } from "../index.js";

interface CountedShares {
  readonly shares: FairShares;
  /** Number of reads of a weight. */
  readonly reads: () => number;
}

function createShares(weights: ReadonlyMap<string, number>): CountedShares {
  let reads = 0;
  const weight = (workspace: string): number | undefined => {
    reads += 1;
    return weights.get(workspace);
  };
  return { shares: createFairShares({ weight, cores: () => 100 }), reads: () => reads };
}

/** Requests loads in cores from `from` to `to`; work of a workspace within its share is accepted. */
function requestWork(
  shares: FairShares,
  loads: Readonly<Record<string, number>>,
  from: number,
  to: number,
): void {
  for (let now = from; now < to; now += 100) {
    for (const [workspace, cores] of Object.entries(loads)) {
      shares.noteRequested(workspace, cores / 10, now);
      if (!shares.isOverShare(workspace, now)) shares.noteAccepted(workspace, cores / 10, now);
    }
  }
}

const weights = new Map([
  ["small", 1],
  ["large", 3],
]);

test("a demand below its part leaves the rest to the others", () => {
  const coreDemands = [
    { cores: 10, weight: 1 },
    { cores: 500, weight: 1 },
    { cores: 500, weight: 2 },
  ];
  expect(divideCores(coreDemands, 100)).toBe(30);
  expect(divideCores(coreDemands, 2_000)).toBe(Infinity);
  expect(divideCores([], 100)).toBe(Infinity);
});

test("in a full pool, only the workspace that exceeds its part is over its share", () => {
  const { shares } = createShares(weights);
  requestWork(shares, { small: 300, large: 60 }, 0, 3_000);
  expect([shares.isOverShare("small", 3_000), shares.isOverShare("large", 3_000)]).toEqual([true, false]);
  const { givenCores, allowedCores } = shares.rates("small", 3_000);
  expect(allowedCores).toBeGreaterThan(25);
  expect(allowedCores).toBeLessThan(50);
  expect(givenCores).toBeLessThan(90);
});

test("a workspace over its share is within it after about the returned wait", () => {
  const { shares } = createShares(weights);
  requestWork(shares, { small: 300, large: 60 }, 0, 3_000);
  shares.noteAccepted("small", 40, 3_000);
  const wait = shares.waitMilliseconds("small", 3_000);
  let now = 3_000;
  for (; shares.isOverShare("small", now); now += 20) {
    shares.noteRequested("small", 6, now);
    for (const note of ["noteRequested", "noteAccepted"] as const) shares[note]("large", 1.2, now);
  }
  expect(wait).toBeGreaterThan(500);
  expect((now - 3_000) / wait).toBeGreaterThan(0.7);
  expect((now - 3_000) / wait).toBeLessThan(1.4);
  expect(shares.waitMilliseconds("large", now)).toBe(0);
});

test("no workspace is over its share of a pool that can serve all demands", () => {
  const { shares } = createShares(weights);
  requestWork(shares, { small: 60, large: 10 }, 0, 5_000);
  expect(shares.isOverShare("small", 5_000)).toBe(false);
  expect(shares.waitMilliseconds("small", 5_000)).toBe(0);
});

test("the excess from work that was accepted without competition is bounded", () => {
  const { shares } = createShares(weights);
  requestWork(shares, { small: 300, large: 300 }, 0, 2_000);
  for (let now = 2_000; now < 4_000; now += 100) shares.noteAccepted("small", 50, now);
  expect(shares.waitMilliseconds("small", 4_000)).toBeLessThan(4_000);
});

test("a removed workspace gets the smallest share, and its account is deleted later", () => {
  const known = new Map(weights);
  const { shares, reads } = createShares(known);
  requestWork(shares, { small: 300, large: 300 }, 0, 1_000);
  known.delete("small");
  requestWork(shares, { small: 300, large: 300 }, 1_000, 3_000);
  expect(shares.isOverShare("small", 3_000)).toBe(true);
  expect(shares.waitMilliseconds("small", 3_000)).toBeGreaterThan(0);
  expect(shares.rates("small", 3_000).allowedCores).toBeLessThan(1);
  shares.isOverShare("large", 30_000);
  const before = reads();
  shares.isOverShare("large", 31_000);
  expect(reads()).toBe(before);
});

test("a pool is divided at most once in 50 ms, not for every job of 370 workspaces", () => {
  const names = Array.from({ length: 370 }, (_, index) => String(index));
  const { shares, reads } = createShares(new Map(names.map((name) => [name, 1])));
  for (let now = 0; now < 1_000; now += 1) {
    const name = names[now % names.length] ?? "";
    shares.noteRequested(name, 1, now);
    shares.isOverShare(name, now);
  }
  // Each of about twenty divisions reads each workspace's weight twice.
  expect(reads()).toBeLessThanOrEqual(2 * 21 * names.length);
});
