/**
 * Tests how many additional targets unplaced long-running tasks need.
 * @packageDocumentation
 */
import { expect, test } from "vitest";
import type { StepDefinition } from "../../jobs/index.js";
import { countWantedTargets, type TargetView, type UnplacedTasks } from "../index.js";

const capacity = { cpuMillicores: 32_000, memoryMegabytes: 128_000, accelerators: 0 };

function longRunning(changes: Partial<StepDefinition> = {}): StepDefinition {
  return {
    taskCount: 24,
    resources: { cpuMillicores: 4_800, memoryMegabytes: 35_000, accelerators: 0 },
    estimateMilliseconds: 500,
    after: [],
    isCheckpointed: false,
    isGang: false,
    prefersOneRack: false,
    allowsCopies: false,
    isLasting: true,
    isFiller: false,
    maximumPerTarget: 1,
    ...changes,
  };
}

function unplaced(stepKey: string, count: number, definition = longRunning()): UnplacedTasks {
  return { stepKey, definition, count };
}

function targets(count: number, cpuMillicores = capacity.cpuMillicores): TargetView[] {
  return Array.from({ length: count }, (_, index) => ({
    targetId: `target-${index}`,
    startedAtUnix: 1,
    rack: undefined,
    labels: [],
    capacity,
    free: { ...capacity, cpuMillicores },
    stepCounts: new Map<string, number>(),
    runCount: 0,
    longRunningCount: 0,
    failureScore: 0,
  }));
}

test("tasks that must be on separate targets need one each, less the targets of the pool that have room", () => {
  expect(countWantedTargets([unplaced("a.0.0", 24)], targets(5), capacity)).toBe(19);
  expect(countWantedTargets([unplaced("a.0.0", 24)], targets(5, 1_000), capacity)).toBe(24);
});

test("tasks of several jobs share additional targets as far as they fit", () => {
  const three = ["a.0.0", "b.0.0", "c.0.0"].map((stepKey) => unplaced(stepKey, 6));
  expect(countWantedTargets(three, [], capacity)).toBe(6);
  const four = [...three, unplaced("d.0.0", 6)];
  // Three tasks of 35 GB fit into 128 GB, a fourth does not.
  expect(countWantedTargets(four, [], capacity)).toBe(12);
});

test("a task that is too large for any target needs no additional one", () => {
  const definition = longRunning({ resources: { ...capacity, cpuMillicores: 64_000 } });
  expect(countWantedTargets([unplaced("a.0.0", 24, definition)], targets(2), capacity)).toBe(0);
});
