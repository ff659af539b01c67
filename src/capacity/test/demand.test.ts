import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { createRandom } from "../../shared/index.js";
import { createDemandTracker, expectedSurge, fewestServers, lateShare } from "../index.js";

const options = { seed: 6, numRuns: 200 };

describe("Erlang's formulas", () => {
  it("match the closed forms of the waiting probability for M/M/1 and M/M/2", () => {
    const waitObjective = { meanRunSeconds: 1, waitSeconds: 0, objective: 0.9 };
    expect(lateShare({ ...waitObjective, load: 0.5 }, 1)).toBeCloseTo(0.5, 12);
    expect(lateShare({ ...waitObjective, load: 1 }, 2)).toBeCloseTo(1 / 3, 12);
  });

  it("find the same number of servers as a linear search over lateShare", () => {
    const waitObjectives = fc.record({
      load: fc.double({ min: 0.01, max: 80, noNaN: true }),
      meanRunSeconds: fc.double({ min: 0.01, max: 2, noNaN: true }),
      waitSeconds: fc.double({ min: 0, max: 5, noNaN: true }),
      objective: fc.constantFrom(0.9, 0.99, 0.9995),
    });
    fc.assert(
      fc.property(waitObjectives, (waitObjective) => {
        let naive = 8;
        while (lateShare(waitObjective, naive) > 1 - waitObjective.objective) naive += 8;
        expect(fewestServers(waitObjective, 8)).toBe(naive);
      }),
      options,
    );
  });
});

describe("demand tracker", () => {
  const feed = (factor: (second: number) => number, seconds: number, reported?: number) => {
    const random = createRandom(3);
    const tracker = createDemandTracker(0.3);
    for (let second = 0; second < seconds; second += 1) {
      const arrivals = Math.round(200 * factor(second) + random.integer(-10, 10));
      const usage = reported === undefined ? {} : { reportedBusySlots: reported };
      tracker.observe({ atSeconds: second, arrivals: Math.max(0, arrivals), ...usage });
      tracker.recordRun(random.exponential(0.1));
    }
    return tracker.estimate();
  };

  it("corrects a declared run time that is three times the true one", () => {
    expect(feed(() => 1, 1_200).meanRunSeconds).toBeCloseTo(0.1, 1);
  });

  it("excludes load surges and the low load after them from the usual load", () => {
    const withSurges = (second: number): number => (second % 300 < 8 ? 3 : second % 300 < 24 ? 0.1 : 1);
    const { load, recentPeakLoad, turn } = feed(withSurges, 3_000);
    expect(load).toBeGreaterThan(17);
    expect(recentPeakLoad).toBeLessThan(25);
    expect(turn.ratio).toBeCloseTo(3, 0);
    expect(turn.seconds).toBeLessThan(expectedSurge.seconds);
  });

  it("follows a slow rise of the load and extrapolates it", () => {
    const rising = (second: number): number => 0.2 + second / 3_600;
    const { load } = feed(rising, 1_800);
    expect(load).toBeGreaterThan(200 * 0.1 * rising(1_600));
  });

  it("uses reported busy slots if they exceed the load computed from arrivals", () => {
    expect(feed(() => 1, 600, 50).load).toBeGreaterThanOrEqual(50);
  });
});
