/**
 * Starts without an answer: a run that the target reports continues, and one that it does not report is stopped.
 * @packageDocumentation
 */
import { Right } from "purify-ts";
import { afterEach, expect, test, vi } from "vitest";
import type { OrderOutcome, PresentRun, RunEnd, TargetOrders } from "../../task-runs/index.js";
import { addJob, type OwnerState } from "../owner-state.js";
import type { PoolTarget } from "../pool-target.js";
import { startRun } from "../start-orders.js";
import { stopUnwanted } from "../stopper.js";
import { keepUnsettledStarts, takeUnsettledStarts } from "../unsettled-starts.js";
import { createStep, terms } from "./owner-fixture.js";
import { createTestState, createTestTarget } from "./state-fixture.js";

afterEach(() => {
  vi.restoreAllMocks();
});

const unanswered: OrderOutcome = { kind: "unknown", message: "no answer in time" };
const targetId = "target";

interface StartedRun {
  readonly state: OwnerState;
  readonly stops: string[];
}

/** Starts one long-running task, without an answer, on a target that reports the given runs and ends. */
async function startUnanswered(shown: {
  readonly present?: readonly PresentRun[];
  readonly ends?: readonly RunEnd[];
  readonly startedAtUnix?: number;
  /** The outcome of a stop. */
  readonly stopped?: Promise<OrderOutcome>;
}): Promise<StartedRun> {
  const stops: string[] = [];
  const { present = [], ends = [], startedAtUnix = 1, stopped = Promise.resolve(unanswered) } = shown;
  const orders: TargetOrders = {
    start: async () => Promise.resolve(unanswered),
    stop: async ({ task }) => {
      stops.push(task);
      return stopped;
    },
    pace: async () => Promise.resolve(unanswered),
    renew: async () => Promise.resolve(Right({ startedAtUnix, clockMilliseconds: 1, present, ends })),
  };
  const state = createTestState({ orders });
  const definition = { spec: "", steps: [createStep({ taskCount: 1, isLasting: true })] };
  const record = { jobId: "job", terms, definition, acceptedAt: 0, requestedAt: 0 };
  addJob(state, record, undefined, 0);
  state.targets.set(targetId, createTarget(state));
  const task = state.tasks.get("job.0.0.0");
  if (task === undefined) throw new Error("the job has no task");
  startRun(state, task, 1, targetId, undefined);
  await waitBriefly();
  expect(task.runs[0]?.status).toBe("unresolved");
  stopUnwanted(state);
  await waitBriefly();
  stopUnwanted(state);
  await waitBriefly();
  return { state, stops };
}

async function waitBriefly(): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, 5));
}

function createTarget(state: OwnerState): PoolTarget {
  const target = createTestTarget(state, {
    capacity: { cpuMillicores: 1_000, memoryMegabytes: 100, accelerators: 0 },
  });
  target.session.noteClock(1, performance.now());
  return target;
}

const run = { task: "job.0.0.0", run: 1, checkpoint: "" };

test("a long-running task whose unanswered start was carried out is not stopped", async () => {
  const { state, stops } = await startUnanswered({ present: [{ ...run, percent: 100, usage: 0 }] });
  expect(stops).toEqual([]);
  expect(state.tasks.get("job.0.0.0")?.runs[0]?.status).toBe("running");
});

test("an unanswered start that its target does not report is stopped", async () => {
  const { stops } = await startUnanswered({});
  expect(stops).toEqual(["job.0.0.0"]);
});

test("an unanswered start whose end is reported is not stopped", async () => {
  const { stops } = await startUnanswered({ ends: [{ ...run, sequence: 1, kind: "failed" }] });
  expect(stops).toEqual([]);
});

test("the report of another incarnation of the target settles no start", async () => {
  const present = [{ ...run, percent: 100, usage: 0 }];
  const { state, stops } = await startUnanswered({ present, startedAtUnix: 2 });
  expect(stops).toEqual([]);
  expect(state.tasks.get("job.0.0.0")?.runs[0]?.status).toBe("unresolved");
});

test("a stop that the earlier incarnation confirmed does not count for the next one, which may still carry out the start", async () => {
  let confirm: (outcome: OrderOutcome) => void = () => undefined;
  const stopped = new Promise<OrderOutcome>((resolve) => {
    confirm = resolve;
  });
  const { state, stops } = await startUnanswered({ stopped });
  expect(stops).toEqual(["job.0.0.0"]);
  const before = state.targets.get(targetId);
  if (before === undefined) throw new Error("the owner has no target");
  keepUnsettledStarts(state, before);
  const carriedOver = takeUnsettledStarts(state, targetId);
  state.targets.set(targetId, {
    ...createTarget(state),
    runs: new Map(carriedOver.map((each) => [each.task.name, each])),
  });
  confirm({ kind: "done", clockMilliseconds: 1 });
  await waitBriefly();
  expect(carriedOver[0]?.run.stopConfirmedAt).toBeUndefined();
});

/** Starts a task whose start order has no answer for the given time while renewals are answered; returns the stopped tasks. */
async function startWithoutAnswer(silentMilliseconds: number, isLasting: boolean): Promise<string[]> {
  const stops: string[] = [];
  const orders: TargetOrders = {
    start: async () => new Promise(() => undefined),
    stop: async ({ task }) => {
      stops.push(task);
      return Promise.resolve(unanswered);
    },
    pace: async () => Promise.resolve(unanswered),
    renew: async () =>
      Promise.resolve(Right({ startedAtUnix: 1, clockMilliseconds: 1, present: [], ends: [] })),
  };
  const state = createTestState({ orders });
  const definition = { spec: "", steps: [createStep({ taskCount: 1, isLasting })] };
  const record = { jobId: "job", terms, definition, acceptedAt: 0, requestedAt: 0 };
  addJob(state, record, undefined, 0);
  state.targets.set(targetId, createTarget(state));
  const task = state.tasks.get("job.0.0.0");
  if (task === undefined) throw new Error("the job has no task");
  startRun(state, task, 1, targetId, undefined);
  const later = performance.now() + silentMilliseconds;
  vi.spyOn(performance, "now").mockReturnValue(later);
  for (let tick = 0; tick < 2; tick += 1) {
    stopUnwanted(state);
    await waitBriefly();
  }
  return stops;
}

test("a lost start is checked and stopped long before its order times out", async () => {
  expect(await startWithoutAnswer(350, false)).toEqual(["job.0.0.0"]);
});

test("a start whose answer may be slow, or that waits for its place to be stored, is not stopped", async () => {
  expect(await startWithoutAnswer(200, false)).toEqual([]);
  expect(await startWithoutAnswer(350, true)).toEqual([]);
});
