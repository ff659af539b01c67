/**
 * Tests of the plans for rounds of restarts and cuts.
 * @packageDocumentation
 */
import { expect, test } from "vitest";
import { restartBounds } from "../bounds.js";
import { divideTime } from "../fault-plan.js";
import { planRestarts, restartVariants, type RestartRound, type RestartVariant } from "../restart-plan.js";

const counts = { entries: 3, pools: 2, targetsPerPool: 5 };
const seconds = 63;
const seeds = [1, 2, 3, 4, 5];

function plan(seed: number, variants: readonly RestartVariant[]): RestartRound[] {
  return planRestarts(seed, divideTime(seconds), counts, restartBounds, variants);
}

test("equal seeds give equal plans, and other seeds other ones", () => {
  expect(plan(1, restartVariants)).toEqual(plan(1, restartVariants));
  expect(plan(1, restartVariants)).not.toEqual(plan(2, restartVariants));
});

test("half of the targets of each pool restart in each round, and all cuts end before the traffic", () => {
  for (const rounds of seeds.map((seed) => plan(seed, []))) {
    expect(rounds).toHaveLength(3);
    for (const { at, restarts } of rounds) {
      const indexes = new Set(restarts.map(({ machineIndex }) => machineIndex));
      expect([...indexes].filter((index) => index < counts.targetsPerPool)).toHaveLength(3);
      expect(indexes.size).toBe(6);
      const ends = restarts.map((each) => {
        const restartedAfter = each.crashAfter + each.heldMilliseconds + each.darkMilliseconds;
        return at + restartedAfter + each.cutAfter + each.cutMilliseconds;
      });
      expect(Math.max(...ends)).toBeLessThan(divideTime(seconds).trafficEndsAt);
    }
  }
});

test("an early cut begins before the first heartbeat of the new process", () => {
  for (const { restarts } of seeds.flatMap((seed) => plan(seed, ["early-cut"]))) {
    for (const { heartbeatAfter, cutAfter } of restarts) expect(cutAfter).toBeLessThan(heartbeatAfter);
  }
});

test("each variant adds its faults", () => {
  const [round] = plan(1, restartVariants);
  const lists = [round?.ownerEnds, round?.outages, round?.drains, round?.clockJumps];
  for (const faults of lists) expect(faults).not.toEqual([]);
  const [plain] = plan(1, []);
  expect([plain?.ownerEnds, plain?.outages, plain?.drains, plain?.clockJumps]).toEqual([[], [], [], []]);
});

const endVariants = ["owner-kill-at-restart", "owner-stop-at-restart", "two-owner-kills"] as const;

test.each(endVariants)("%s ends the owner of each pool while the pool's targets come back", (variant) => {
  for (const { restarts, ownerEnds } of seeds.flatMap((seed) => plan(seed, [variant]))) {
    expect(ownerEnds).toHaveLength(counts.pools);
    for (const { choice, after, how, nextAfter } of ownerEnds) {
      const pool = Math.floor(choice * counts.pools);
      const own = restarts.filter(
        ({ machineIndex }) => Math.floor(machineIndex / counts.targetsPerPool) === pool,
      );
      const returns = own.map((each) => each.crashAfter + each.heldMilliseconds + each.darkMilliseconds);
      const sinceReturn = returns.map((back) => after - back).filter((since) => since >= 20 && since <= 600);
      expect(sinceReturn).not.toEqual([]);
      expect(how).toBe(variant === "owner-stop-at-restart" ? "stop" : "kill");
      expect(nextAfter === undefined).toBe(variant !== "two-owner-kills");
    }
  }
});

test("variants that end owners are drawn beside each other", () => {
  const ends = seeds.flatMap((seed) => plan(seed, endVariants)).flatMap(({ ownerEnds }) => ownerEnds);
  expect(new Set(ends.map(({ how }) => how))).toEqual(new Set(["kill", "stop"]));
  expect(ends.every(({ nextAfter }) => nextAfter !== undefined)).toBe(true);
});
