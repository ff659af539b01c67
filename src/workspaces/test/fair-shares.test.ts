/**
 * Shares of a pool: who is over its own, and when it is within it again.
 * @packageDocumentation
 */
import { expect, test } from "vitest";
import { divideCores } from "../divide-cores.js";
import { createFairShares, type FairShares } from "../index.js";

interface Counted {
  readonly shares: FairShares;
  /** How often a weight was read. */
  readonly reads: () => number;
}

function createShares(weights: ReadonlyMap<string, number>): Counted {
  let reads = 0;
  const weight = (workspace: string): number | undefined => {
    reads += 1;
    return weights.get(workspace);
  };
  return { shares: createFairShares({ weight, cores: () => 100 }), reads: () => reads };
}

/** Asks for cores over a time, of which the shares give what they should. */
function ask(shares: FairShares, loads: Readonly<Record<string, number>>, from: number, to: number): void {
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

test("who asks for less than its part leaves the rest to the others", () => {
  const coreDemands = [
    { cores: 10, weight: 1 },
    { cores: 500, weight: 1 },
    { cores: 500, weight: 2 },
  ];
  expect(divideCores(coreDemands, 100)).toBe(30);
  expect(divideCores(coreDemands, 2_000)).toBe(Infinity);
  expect(divideCores([], 100)).toBe(Infinity);
});

test("in a full pool the one that floods it is over its share and the one within it is not", () => {
  const { shares } = createShares(weights);
  ask(shares, { small: 300, large: 60 }, 0, 3_000);
  expect([shares.isOverShare("small", 3_000), shares.isOverShare("large", 3_000)]).toEqual([true, false]);
  const { givenCores, allowedCores } = shares.rates("small", 3_000);
  expect(allowedCores).toBeGreaterThan(25);
  expect(allowedCores).toBeLessThan(50);
  expect(givenCores).toBeLessThan(90);
});

test("a workspace that is over its share is within it after the time that is told", () => {
  const { shares } = createShares(weights);
  ask(shares, { small: 300, large: 60 }, 0, 3_000);
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

test("nobody is over its share of a pool with room for all, however much it has had", () => {
  const { shares } = createShares(weights);
  ask(shares, { small: 60, large: 10 }, 0, 5_000);
  expect(shares.isOverShare("small", 5_000)).toBe(false);
  expect(shares.waitMilliseconds("small", 5_000)).toBe(0);
});

test("room that nobody waited for does not count for long", () => {
  const { shares } = createShares(weights);
  ask(shares, { small: 300, large: 300 }, 0, 2_000);
  for (let now = 2_000; now < 4_000; now += 100) shares.noteAccepted("small", 50, now);
  expect(shares.waitMilliseconds("small", 4_000)).toBeLessThan(4_000);
});

test("a workspace that is not configured any more has the least share and is then forgotten", () => {
  const known = new Map(weights);
  const { shares, reads } = createShares(known);
  ask(shares, { small: 300, large: 300 }, 0, 1_000);
  known.delete("small");
  ask(shares, { small: 300, large: 300 }, 1_000, 3_000);
  expect(shares.isOverShare("small", 3_000)).toBe(true);
  expect(shares.waitMilliseconds("small", 3_000)).toBeGreaterThan(0);
  expect(shares.rates("small", 3_000).allowedCores).toBeLessThan(1);
  shares.isOverShare("large", 30_000);
  const before = reads();
  shares.isOverShare("large", 31_000);
  expect(reads()).toBe(before);
});

test("370 workspaces are divided for a moment of time, not for every job", () => {
  const names = Array.from({ length: 370 }, (_, index) => String(index));
  const { shares, reads } = createShares(new Map(names.map((name) => [name, 1])));
  for (let now = 0; now < 1_000; now += 1) {
    const name = names[now % names.length] ?? "";
    shares.noteRequested(name, 1, now);
    shares.isOverShare(name, now);
  }
  // Twenty divisions a second look at each workspace twice.
  expect(reads()).toBeLessThanOrEqual(2 * 21 * names.length);
});
