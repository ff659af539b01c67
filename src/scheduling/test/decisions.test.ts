/**
 * Decisions on jobs, played on loads that they answer and compared with naive ones.
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
  takePlace,
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

/** When a job ends that comes after others. */
function endAfter(jobs: readonly ForecastJob[], asked: ForecastJob, horizonMilliseconds = 60_000): number {
  return forecastEnd(planRoom(jobs, capacity, horizonMilliseconds), asked, horizonMilliseconds);
}

test("a forecast lets a job use the room that another's later step does not take yet", () => {
  const narrowThenWide = forecastJob([
    { waiting: 1, milliseconds: 1_000 },
    { waiting: 9, milliseconds: 1_000, after: [0] },
  ]);
  const asked = forecastJob([{ waiting: 8, milliseconds: 1_000 }]);
  expect(endAfter([narrowThenWide], asked)).toBe(1_000);
  // Counting all work as if it took room at once would say twice as long.
  const total = forecastJob([{ waiting: 10, milliseconds: 1_000 }]);
  expect(endAfter([total], asked)).toBe(2_000);
});

test("a forecast counts on room that comes before the job would be late", () => {
  const asked = forecastJob([{ waiting: 18, milliseconds: 1_000 }]);
  const arrivals = [{ resources: capacity, atMilliseconds: 400 }];
  expect(endAfter([], asked)).toBe(2_000);
  expect(forecastEnd(planRoom([], capacity, 60_000, arrivals), asked, 60_000)).toBe(1_400);
  // The plan was made 200 ms ago.
  expect(forecastEnd(planRoom([], capacity, 60_000, arrivals), asked, 60_000, 200)).toBe(1_200);
});

test("a forecast gives up beyond its horizon and for what fits nowhere", () => {
  const wide = {
    steps: [
      { waiting: 1, running: [], needs: { ...core, cpuMillicores: 99_000 }, runMilliseconds: 1, after: [] },
    ],
  };
  expect(endAfter([], wide)).toBe(Infinity);
  expect(endAfter([], forecastJob([{ waiting: 100, milliseconds: 1_000 }]), 5_000)).toBe(Infinity);
});

/** Plays a turn in which a pool is asked for more than it holds; returns how many jobs end in their time. */
function playTurn(admits: (open: ForecastJob[], asked: ForecastJob, objective: number) => boolean): number {
  const random = createRandom(3);
  const objective = 2_500;
  const accepted: { at: number; job: ForecastJob }[] = [];
  for (let at = 0; at < 5_000; at += 100) {
    const width = random.integer(1, 6);
    const job = forecastJob([
      { waiting: width, milliseconds: 800 },
      { waiting: width, milliseconds: 800, after: [0] },
    ]);
    if (admits(stillOpen(accepted, at), job, objective)) accepted.push({ at, job });
  }
  return accepted.filter(({ at }, index) => endOf(accepted, index) - at <= objective).length;
}

/** Plays all accepted jobs in their order on a pool; a job does not start before it has come. */
function endOf(accepted: { at: number; job: ForecastJob }[], index: number): number {
  const asked = accepted[index];
  if (asked === undefined) return Infinity;
  const before = accepted.slice(0, index + 1).map(({ at, job }) => ({
    steps: [
      // A step that nothing fits beside is not needed: the wait takes no room.
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

function stillOpen(accepted: { at: number; job: ForecastJob }[], now: number): ForecastJob[] {
  return accepted.filter((_, index) => endOf(accepted, index) > now).map(({ job }) => job);
}

test("in a turn more jobs end in time than when all are accepted", () => {
  const byForecast = playTurn((open, asked, objective) => {
    const endMilliseconds = endAfter(open, asked);
    const forecast = {
      endMilliseconds,
      objectiveMilliseconds: objective,
      latestMilliseconds: objective,
      startsNow: false,
    };
    return admitJob(forecast).kind === "accept";
  });
  const all = playTurn(() => true);
  expect(byForecast).toBeGreaterThan(all);
});

test("a refusal says when room is expected, never at once and never in ages", () => {
  const refuse = (endMilliseconds: number): number => {
    const answer = admitJob({
      endMilliseconds,
      objectiveMilliseconds: 1_000,
      latestMilliseconds: 3_000,
      startsNow: false,
    });
    return answer.kind === "refuse" ? answer.retryAfterMilliseconds : 0;
  };
  expect([refuse(1_200), refuse(6_000), refuse(Infinity)]).toEqual([1_000, 5_000, 15_000]);
});

test("a job that would be late is only taken where nobody waits", () => {
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

test("long-running jobs go first, late ones last, urgent and begun ones before others", () => {
  const jobs = {
    lasting: ordered({ isLasting: true, acceptedAt: 9 }),
    urgent: ordered({ acceptedAt: 8 }),
    begun: ordered({ hasStarted: true, acceptedAt: 7 }),
    patient: ordered({ priority: 1, acceptedAt: 1 }),
    late: ordered({ dueAt: 500, acceptedAt: 0 }),
  };
  const names = Object.entries(jobs).sort(([, left], [, right]) => compareJobs(left, right, 0));
  expect(names.map(([name]) => name)).toEqual(["lasting", "begun", "urgent", "patient", "late"]);
});

test("workspaces that had their share let others go first while their jobs can wait", () => {
  const order = (had: OrderedJob): string =>
    compareJobs(ordered({ acceptedAt: 5 }), had, 0) < 0 ? "after" : "before";
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

test("short tasks fill the fullest target, so that a wide task still finds room", () => {
  const targets = [view("empty", 32), view("fuller", 10)];
  for (let count = 0; count < 2; count += 1) {
    const chosen = choosePlace(place(), targets);
    if (chosen !== undefined) takePlace(chosen, place());
  }
  expect(
    choosePlace(place({ resources: { ...step.resources, cpuMillicores: 32_000 } }), targets)?.targetId,
  ).toBe("empty");
});

test("labels, limits for a target, racks and distrust are kept to", () => {
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

test("a gang gets all of its places or none", () => {
  const targets = [view("a", 8), view("b", 4)];
  expect(chooseGangPlaces(place(), 4, targets)).toBeUndefined();
  expect(targets.map(({ free, runCount }) => [free.cpuMillicores, runCount])).toEqual([
    [8_000, 0],
    [4_000, 0],
  ]);
  expect(chooseGangPlaces(place(), 3, targets)).toHaveLength(3);
});

test("best-effort tasks are slowed while users wait and speed up again when they do not", () => {
  const tail = (tailMilliseconds: number): { tailMilliseconds: number; goalMilliseconds: number }[] => [
    { tailMilliseconds, goalMilliseconds: 100 },
  ];
  expect(choosePace(100, tail(120))).toBe(0);
  expect(choosePace(100, tail(90))).toBe(40);
  expect(choosePace(40, tail(70))).toBe(40);
  expect(choosePace(40, tail(20))).toBe(55);
  expect(choosePace(95, [])).toBe(100);
});

test("a rate of work rises with a turn and falls after it", () => {
  const rate = createDemandForecast();
  for (let now = 0; now <= 3_000; now += 100) rate.note(10, now);
  expect(rate.read(3_000)).toBeGreaterThan(90);
  expect(rate.read(3_000)).toBeLessThan(125);
  expect(rate.read(8_000)).toBeLessThan(1);
});

/** Plays jobs of 50 core-seconds, so many a second from one time to another. */
function playJobs(rates: readonly WorkRate[], from: number, to: number, jobsPerSecond: number): void {
  const step = 1_000 / jobsPerSecond;
  for (let now = from; now < to; now += step) {
    for (const rate of rates) rate.note(50, now);
  }
}

test("the height of earlier turns is expected as soon as the next turn begins", () => {
  const naive = createWorkRate(900);
  const forecast = createDemandForecast();
  playJobs([naive, forecast], 0, 4_000, 16);
  playJobs([naive, forecast], 4_000, 15_000, 0.5);
  playJobs([naive, forecast], 15_000, 15_200, 16);
  expect(naive.read(15_200)).toBeLessThan(250);
  expect(forecast.read(15_200)).toBeGreaterThan(600);
  // Machines that come after the turn would stand idle.
  expect(forecast.read(16_500)).toBeLessThan(300);
});

test("one large job in a quiet time is no turn", () => {
  const forecast = createDemandForecast();
  playJobs([forecast], 0, 4_000, 16);
  forecast.note(400, 12_000);
  expect(forecast.read(12_050)).toBeLessThan(500);
});

test("a turn of many callers is known within a few tenths of a second, and a few jobs tell no rate", () => {
  const risen = (jobsPerSecond: number): number => {
    const demand = createDemandForecast();
    const gap = 1_000 / jobsPerSecond;
    let now = 0;
    for (; now < 400; now += gap) demand.note(10, now);
    return demand.read(now) / (10 * jobsPerSecond);
  };
  expect(risen(100)).toBeGreaterThan(0.7);
  expect(risen(5)).toBeLessThan(0.6);
});

test("the margin follows forecasts that miss, and one of a few misses does not move it far", () => {
  const margin = createForecastMargin();
  for (let job = 0; job < 100; job += 1) margin.learn(job % 10 === 0 ? 9_000 : 400);
  expect(margin.milliseconds()).toBeGreaterThan(300);
  expect(margin.milliseconds()).toBeLessThan(700);
  for (let job = 0; job < 300; job += 1) margin.learn(-600);
  expect(margin.milliseconds()).toBe(0);
});
