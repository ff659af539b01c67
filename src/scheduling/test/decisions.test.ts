/**
 * Tests of admission, order, placement, pace and forecasts; some simulate a load and compare with a naive decision.
 * @packageDocumentation
 */
import { expect, test } from "vitest";
import { createRandom } from "../../shared/index.js";
import type { StepDefinition } from "../../jobs/index.js";
import {
  admitJob,
  chooseGangPlaces,
  choosePace,
  choosePlace,
  compareJobs,
  createDemandForecast,
  createForecastMargin,
  createWorkRate,
  forecastEnd,
  planRoom,
  allocatePlace,
  type ForecastJob,
  type OrderedJob,
  type StepPlace,
  type TargetView,
  type WorkRate,
} from "../index.js";

const core = { cpuMillicores: 1_000, memoryMegabytes: 0, accelerators: 0 };
const capacity = { cpuMillicores: 10_000, memoryMegabytes: 1_000, accelerators: 0 };

function forecastJob(steps: { waiting: number; milliseconds: number; after?: number[] }[]): ForecastJob {
  return {
    steps: steps.map(({ waiting, milliseconds, after = [] }) => ({
      waiting,
      running: [],
      needs: core,
      runMilliseconds: milliseconds,
      after,
    })),
  };
}

/** The end of a job that arrives after others. */
function endAfter(
  jobs: readonly ForecastJob[],
  candidate: ForecastJob,
  horizonMilliseconds = 60_000,
): number {
  return forecastEnd(planRoom(jobs, capacity, horizonMilliseconds), candidate, horizonMilliseconds);
}

test("a forecast uses the room that a later step of an earlier job does not need yet", () => {
  const smallThenLarge = forecastJob([
    { waiting: 1, milliseconds: 1_000 },
    { waiting: 9, milliseconds: 1_000, after: [0] },
  ]);
  const candidate = forecastJob([{ waiting: 8, milliseconds: 1_000 }]);
  expect(endAfter([smallThenLarge], candidate)).toBe(1_000);
  // If all work of the earlier job counted as starting at once, the forecast would be twice as long.
  const total = forecastJob([{ waiting: 10, milliseconds: 1_000 }]);
  expect(endAfter([total], candidate)).toBe(2_000);
});

test("a forecast includes resources that arrive while the job runs", () => {
  const candidate = forecastJob([{ waiting: 18, milliseconds: 1_000 }]);
  const arrivals = [{ resources: capacity, atMilliseconds: 400 }];
  expect(endAfter([], candidate)).toBe(2_000);
  expect(forecastEnd(planRoom([], capacity, 60_000, arrivals), candidate, 60_000)).toBe(1_400);
  // The plan was made 200 ms ago.
  expect(forecastEnd(planRoom([], capacity, 60_000, arrivals), candidate, 60_000, 200)).toBe(1_200);
});

test("a forecast is infinite beyond its horizon and for tasks that fit on no target", () => {
  const wide = {
    steps: [
      { waiting: 1, running: [], needs: { ...core, cpuMillicores: 99_000 }, runMilliseconds: 1, after: [] },
    ],
  };
  expect(endAfter([], wide)).toBe(Infinity);
  expect(endAfter([], forecastJob([{ waiting: 100, milliseconds: 1_000 }]), 5_000)).toBe(Infinity);
});

/** Simulates a load surge beyond the capacity of a pool; returns how many accepted jobs end within their objective. */
function simulateSurge(
  admits: (open: ForecastJob[], candidate: ForecastJob, objective: number) => boolean,
): number {
  const random = createRandom(3);
  const objective = 2_500;
  const accepted: { at: number; job: ForecastJob }[] = [];
  for (let at = 0; at < 5_000; at += 100) {
    const width = random.integer(1, 6);
    const job = forecastJob([
      { waiting: width, milliseconds: 800 },
      { waiting: width, milliseconds: 800, after: [0] },
    ]);
    if (admits(findOpenJobs(accepted, at), job, objective)) accepted.push({ at, job });
  }
  return accepted.filter(({ at }, index) => endOf(accepted, index) - at <= objective).length;
}

/** The end of an accepted job when all jobs run in the order of their acceptance; none starts before its arrival. */
function endOf(accepted: { at: number; job: ForecastJob }[], index: number): number {
  const candidate = accepted[index];
  if (candidate === undefined) return Infinity;
  const before = accepted.slice(0, index + 1).map(({ at, job }) => ({
    steps: [
      // A first step without resources delays the job until its arrival and takes no room.
      { waiting: 1, running: [], needs: { ...core, cpuMillicores: 0 }, runMilliseconds: at, after: [] },
      ...job.steps.map((step) => ({
        ...step,
        after: step.after.length === 0 ? [0] : step.after.map((position) => position + 1),
      })),
    ],
  }));
  const [last] = before.splice(-1);
  return last === undefined ? Infinity : endAfter(before, last, 1_000_000);
}

function findOpenJobs(accepted: { at: number; job: ForecastJob }[], now: number): ForecastJob[] {
  return accepted.filter((_, index) => endOf(accepted, index) > now).map(({ job }) => job);
}

test("during a load surge, admission by forecast lets more jobs end in time than accepting all", () => {
  const byForecast = simulateSurge((open, candidate, objective) => {
    const endMilliseconds = endAfter(open, candidate);
    const forecast = {
      endMilliseconds,
      objectiveMilliseconds: objective,
      latestMilliseconds: objective,
      startsNow: false,
    };
    return admitJob(forecast).kind === "accept";
  });
  const all = simulateSurge(() => true);
  expect(byForecast).toBeGreaterThan(all);
});

test("a refusal gives the time until room is expected, within the bounds of the retry time", () => {
  const refuse = (endMilliseconds: number): number => {
    const admission = admitJob({
      endMilliseconds,
      objectiveMilliseconds: 1_000,
      latestMilliseconds: 3_000,
      startsNow: false,
    });
    return admission.kind === "refuse" ? admission.retryAfterMilliseconds : 0;
  };
  expect([refuse(1_200), refuse(6_000), refuse(Infinity)]).toEqual([1_000, 5_000, 15_000]);
});

test("a job that would miss its objective is only accepted when it can start now", () => {
  const late = { endMilliseconds: 2_000, objectiveMilliseconds: 500, latestMilliseconds: 3_000 };
  expect(admitJob({ ...late, startsNow: true }).kind).toBe("accept");
  expect(admitJob({ ...late, startsNow: false }).kind).toBe("refuse");
});

const ordered = (changes: Partial<OrderedJob>): OrderedJob => ({
  priority: 0,
  isLasting: false,
  hasStarted: false,
  isOverShare: false,
  dueAt: 10_000,
  remainingMilliseconds: 1_000,
  acceptedAt: 0,
  ...changes,
});

test("long-running jobs go first and late jobs last; urgent and started jobs go before others", () => {
  const jobs = {
    longRunning: ordered({ isLasting: true, acceptedAt: 9 }),
    urgent: ordered({ acceptedAt: 8 }),
    begun: ordered({ hasStarted: true, acceptedAt: 7 }),
    lessUrgent: ordered({ priority: 1, acceptedAt: 1 }),
    late: ordered({ dueAt: 500, acceptedAt: 0 }),
  };
  const names = Object.entries(jobs).sort(([, left], [, right]) => compareJobs(left, right, 0));
  expect(names.map(([name]) => name)).toEqual(["longRunning", "begun", "urgent", "lessUrgent", "late"]);
});

test("jobs of workspaces over their share yield while they can still end in time", () => {
  const order = (job: OrderedJob): string =>
    compareJobs(ordered({ acceptedAt: 5 }), job, 0) < 0 ? "after" : "before";
  expect(order(ordered({ isOverShare: true }))).toBe("after");
  expect(order(ordered({ isOverShare: true, dueAt: 1_400 }))).toBe("before");
  expect(order(ordered({ isOverShare: true, hasStarted: true }))).toBe("before");
});

const step: StepDefinition = {
  taskCount: 1,
  resources: { cpuMillicores: 4_000, memoryMegabytes: 1_000, accelerators: 0 },
  estimateMilliseconds: 1_000,
  after: [],
  isCheckpointed: false,
  isGang: false,
  prefersOneRack: false,
  allowsCopies: false,
  isLasting: false,
  isFiller: false,
};
const place = (changes: Partial<StepDefinition> = {}, racks = new Map<string, number>()): StepPlace => ({
  stepKey: "job.0.0",
  definition: { ...step, ...changes },
  racks,
});
const view = (targetId: string, freeCores: number, changes: Partial<TargetView> = {}): TargetView => ({
  targetId,
  startedAtUnix: 1,
  rack: "r1",
  labels: ["a", "r1"],
  capacity: { cpuMillicores: 32_000, memoryMegabytes: 64_000, accelerators: 0 },
  free: { cpuMillicores: freeCores * 1_000, memoryMegabytes: 64_000, accelerators: 0 },
  stepCounts: new Map(),
  runCount: 0,
  longRunningCount: 0,
  failureScore: 0,
  ...changes,
});

test("short tasks go to the fullest target, so that a large task still fits on another", () => {
  const targets = [view("empty", 32), view("fuller", 10)];
  for (let count = 0; count < 2; count += 1) {
    const chosen = choosePlace(place(), targets);
    if (chosen !== undefined) allocatePlace(chosen, place());
  }
  expect(
    choosePlace(place({ resources: { ...step.resources, cpuMillicores: 32_000 } }), targets)?.targetId,
  ).toBe("empty");
});

test("placement observes labels, limits per target, racks and failure scores", () => {
  expect(choosePlace(place({ requiredLabel: "b" }), [view("a", 32)])).toBeUndefined();
  const full = view("a", 32, { stepCounts: new Map([["job.0.0", 1]]) });
  expect(choosePlace(place({ maximumPerTarget: 1 }), [full])).toBeUndefined();
  const racks = [view("near", 8, { rack: "r2" }), view("far", 8)];
  expect(choosePlace(place({ preferredRack: "r2" }), racks)?.targetId).toBe("near");
  expect(choosePlace(place(), [view("failing", 8, { failureScore: 2 }), view("sound", 32)])?.targetId).toBe(
    "sound",
  );
  const used = new Map([["r1", 1]]);
  const longRunning = [view("same", 32), view("other", 32, { rack: "r2", longRunningCount: 1 })];
  expect(choosePlace(place({ isLasting: true }, used), longRunning)?.targetId).toBe("other");
});

test("a gang is placed as a whole or not at all", () => {
  const targets = [view("a", 8), view("b", 4)];
  expect(chooseGangPlaces(place(), 4, targets)).toBeUndefined();
  expect(targets.map(({ free, runCount }) => [free.cpuMillicores, runCount])).toEqual([
    [8_000, 0],
    [4_000, 0],
  ]);
  expect(chooseGangPlaces(place(), 3, targets)).toHaveLength(3);
});

test("best-effort tasks are throttled while tail latency is high and speed up again when it is low", () => {
  const tail = (tailMilliseconds: number): { tailMilliseconds: number; goalMilliseconds: number }[] => [
    { tailMilliseconds, goalMilliseconds: 100 },
  ];
  expect(choosePace(100, tail(120))).toBe(0);
  expect(choosePace(100, tail(90))).toBe(40);
  expect(choosePace(40, tail(70))).toBe(40);
  expect(choosePace(40, tail(20))).toBe(55);
  expect(choosePace(95, [])).toBe(100);
});

test("the demand forecast rises with a load surge and falls after it", () => {
  const rate = createDemandForecast();
  for (let now = 0; now <= 3_000; now += 100) rate.note(10, now);
  expect(rate.read(3_000)).toBeGreaterThan(90);
  expect(rate.read(3_000)).toBeLessThan(125);
  expect(rate.read(8_000)).toBeLessThan(1);
});

/** Adds jobs of 50 core-seconds each to the rates, at a constant number of jobs per second. */
function addJobs(rates: readonly WorkRate[], from: number, to: number, jobsPerSecond: number): void {
  const step = 1_000 / jobsPerSecond;
  for (let now = from; now < to; now += step) {
    for (const rate of rates) rate.note(50, now);
  }
}

test("the demand forecast rises to the peak of earlier surges at the onset of the next", () => {
  const naive = createWorkRate(900);
  const forecast = createDemandForecast();
  addJobs([naive, forecast], 0, 4_000, 16);
  addJobs([naive, forecast], 4_000, 15_000, 0.5);
  addJobs([naive, forecast], 15_000, 15_200, 16);
  expect(naive.read(15_200)).toBeLessThan(250);
  expect(forecast.read(15_200)).toBeGreaterThan(600);
  // Machines that arrive after the surge would be idle.
  expect(forecast.read(16_500)).toBeLessThan(300);
});

test("one large job in a quiet time does not count as a load surge", () => {
  const forecast = createDemandForecast();
  addJobs([forecast], 0, 4_000, 16);
  forecast.note(400, 12_000);
  expect(forecast.read(12_050)).toBeLessThan(500);
});

test("within 400 ms the forecast reaches most of the rate of many jobs, but not of a few jobs", () => {
  const reachedShare = (jobsPerSecond: number): number => {
    const demand = createDemandForecast();
    const gap = 1_000 / jobsPerSecond;
    let now = 0;
    for (; now < 400; now += gap) demand.note(10, now);
    return demand.read(now) / (10 * jobsPerSecond);
  };
  expect(reachedShare(100)).toBeGreaterThan(0.7);
  expect(reachedShare(5)).toBeLessThan(0.6);
});

test("demand grows while a load surge builds up, and neither with one job nor in a steady or falling load", () => {
  const readGrowth = (jobsPerSecond: (milliseconds: number) => number, until: number): number => {
    const demand = createDemandForecast();
    let due = 0;
    for (let now = 0; now < until; now += 10) {
      due += jobsPerSecond(now) / 100;
      for (; due >= 1; due -= 1) demand.note(10, now);
    }
    return demand.readGrowth(until);
  };
  // 10 more jobs of 10 core-seconds each second.
  const rising = readGrowth((milliseconds) => milliseconds / 100, 3_000);
  expect(rising).toBeGreaterThan(40);
  expect(rising).toBeLessThan(110);
  expect(readGrowth(() => 30, 12_000)).toBeLessThan(10);
  expect(readGrowth((milliseconds) => (milliseconds < 4_000 ? 30 : 0), 4_500)).toBe(0);
  const single = createDemandForecast();
  single.note(500, 100);
  expect(single.readGrowth(200)).toBe(0);
});

test("the margin follows repeated forecast errors, and rare large errors barely change it", () => {
  const margin = createForecastMargin();
  for (let job = 0; job < 100; job += 1) margin.learn(job % 10 === 0 ? 9_000 : 400);
  expect(margin.milliseconds()).toBeGreaterThan(300);
  expect(margin.milliseconds()).toBeLessThan(700);
  for (let job = 0; job < 300; job += 1) margin.learn(-600);
  expect(margin.milliseconds()).toBe(0);
});
