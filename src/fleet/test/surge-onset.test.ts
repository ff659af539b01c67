/**
 * What callers get while a load surge grows faster than machines join the pool.
 * @packageDocumentation
 */
import { expect, test } from "vitest";
import { simulateFleet, type FleetLoad, type FleetOutcome } from "./surge-fleet.js";

const seeds = [1, 2, 3, 4, 5];

/** Simulates a load with each seed; returns the sums. */
function simulateAll(load: Omit<FleetLoad, "seed">): FleetOutcome {
  const outcomes = seeds.map((seed) => simulateFleet({ ...load, seed }));
  const sum = (name: keyof FleetOutcome): number =>
    outcomes.reduce((total, outcome) => total + outcome[name], 0);
  return {
    submitted: sum("submitted"),
    inTime: sum("inTime"),
    machineSeconds: sum("machineSeconds"),
    moves: sum("moves"),
  };
}

/** Rises within 3 s, holds for 3 s, and falls within 2 s. */
function growingSurge(peakPerSecond: number): (milliseconds: number) => number {
  return (milliseconds) => {
    const shape = Math.min(milliseconds / 3_000, 1, (8_000 - milliseconds) / 2_000);
    return peakPerSecond * Math.max(0.05, shape);
  };
}

test("five of six callers are served in time while a load surge of many small jobs grows", () => {
  const { submitted, inTime } = simulateAll({
    milliseconds: 12_000,
    jobsPerSecond: growingSurge(36),
    jobCores: 30,
  });
  expect(inTime / submitted).toBeGreaterThan(5 / 6);
});

test("three of four callers with large jobs are served in time while a load surge grows", () => {
  const { submitted, inTime } = simulateAll({
    milliseconds: 12_000,
    jobsPerSecond: growingSurge(6),
    jobCores: 180,
  });
  expect(inTime / submitted).toBeGreaterThan(3 / 4);
});
