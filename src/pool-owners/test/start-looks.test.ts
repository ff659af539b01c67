/**
 * Starts that brought no answer: what the target shows goes on, what it does not show is stopped.
 * @packageDocumentation
 */
import { Right } from "purify-ts";
import { afterEach, expect, test, vi } from "vitest";
import type { OrderOutcome, PresentRun, RunEnd, TargetOrders } from "../../task-runs/index.js";
import { TargetSession } from "../../task-runs/index.js";
import { createLog, createMetrics } from "../../telemetry/index.js";
import type { OwnerJournal } from "../journal-writes.js";
import { addJob, createOwnerState, type OwnerState, type PoolTarget } from "../owner-state.js";
import { startRun } from "../start-orders.js";
import { stopUnwanted } from "../stopper.js";
import { keepUnsettledStarts, takeUnsettledStarts } from "../unsettled-starts.js";
import { createStep, pool, terms } from "./owner-fixture.js";

afterEach(() => {
  vi.restoreAllMocks();
});

const unanswered: OrderOutcome = { kind: "unknown", message: "no answer in time" };
const targetId = "target";

interface Told {
  readonly state: OwnerState;
  readonly stops: string[];
}

/** An owner that has started one long-running task, without an answer, on a target that shows what is given. */
async function startUnanswered(shown: {
  readonly present?: readonly PresentRun[];
  readonly ends?: readonly RunEnd[];
  readonly startedAtUnix?: number;
  /** What a stop brings. */
  readonly stopped?: Promise<OrderOutcome>;
}): Promise<Told> {
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
  const state = createState(orders);
  const definition = { spec: "", steps: [createStep({ taskCount: 1, isLasting: true })] };
  const record = { jobId: "job", terms, definition, acceptedAt: 0, requestedAt: 0 };
  addJob(state, record, undefined, 0, false);
  state.targets.set(targetId, createTarget(state));
  const task = state.tasks.get("job.0.0.0");
  if (task === undefined) throw new Error("the job has no task");
  startRun(state, task, 1, targetId, undefined);
  await pass();
  expect(task.runs[0]?.status).toBe("unresolved");
  stopUnwanted(state);
  await pass();
  stopUnwanted(state);
  await pass();
  return { state, stops };
}

async function pass(): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, 5));
}

function createState(orders: TargetOrders): OwnerState {
  const journal: OwnerJournal = {
    write: () => ({ result: Promise.resolve("stored"), withdraw: () => undefined }),
    waiting: () => 0,
    flush: async () => Promise.resolve(),
    close: () => undefined,
  };
  return createOwnerState({
    pool,
    fencingToken: 1,
    firstRun: 1,
    orders,
    journal,
    log: createLog("silent"),
    metrics: createMetrics(),
    isActive: () => true,
    supersede: () => undefined,
  });
}

function createTarget({ orders, metrics }: OwnerState): PoolTarget {
  const session = new TargetSession({
    target: {
      targetId,
      address: "127.0.0.1:1",
      startedAtUnix: 1,
      pool,
      availabilityZone: "zone",
      state: "ready",
      capacity: { cpuMillicores: 1_000, memoryMegabytes: 100, accelerators: 0 },
      rack: undefined,
      labels: [],
      remainingMilliseconds: undefined,
    },
    orders,
    fencingToken: 1,
    leaseMilliseconds: 1_000,
    metrics,
    handlers: {
      onReport: () => undefined,
      onGone: () => undefined,
      onFenced: () => undefined,
      isActive: () => true,
      chooseWait: () => 0,
    },
    formerLeaseUntil: 0,
  });
  session.noteClock(1, performance.now());
  return {
    session,
    runs: new Map(),
    isRecorded: true,
    isVacating: false,
    blockedUntil: 0,
    failureScore: 0,
    pacePercent: 100,
    handledSequence: 0,
    acknowledging: Promise.resolve(),
  };
}

const run = { task: "job.0.0.0", run: 1, checkpoint: "" };

test("a long-running task that its target carried out without an answer is not stopped", async () => {
  const { state, stops } = await startUnanswered({ present: [{ ...run, percent: 100, usage: 0 }] });
  expect(stops).toEqual([]);
  expect(state.tasks.get("job.0.0.0")?.runs[0]?.status).toBe("running");
});

test("a start without an answer that its target does not show is stopped", async () => {
  const { stops } = await startUnanswered({});
  expect(stops).toEqual(["job.0.0.0"]);
});

test("a start without an answer whose end is listed is not stopped", async () => {
  const { stops } = await startUnanswered({ ends: [{ ...run, sequence: 1, kind: "failed" }] });
  expect(stops).toEqual([]);
});

test("what another life of the target shows settles no start", async () => {
  const present = [{ ...run, percent: 100, usage: 0 }];
  const { state, stops } = await startUnanswered({ present, startedAtUnix: 2 });
  expect(stops).toEqual([]);
  expect(state.tasks.get("job.0.0.0")?.runs[0]?.status).toBe("unresolved");
});

test("a stop that the life before confirmed does not let a task run beside a start that the next life may carry out", async () => {
  let confirm: (outcome: OrderOutcome) => void = () => undefined;
  const stopped = new Promise<OrderOutcome>((resolve) => {
    confirm = resolve;
  });
  const { state, stops } = await startUnanswered({ stopped });
  expect(stops).toEqual(["job.0.0.0"]);
  const before = state.targets.get(targetId);
  if (before === undefined) throw new Error("the owner has no target");
  keepUnsettledStarts(state, before, 1_000);
  const carriedOver = takeUnsettledStarts(state, targetId);
  state.targets.set(targetId, {
    ...createTarget(state),
    runs: new Map(carriedOver.map((each) => [each.task.name, each])),
  });
  confirm({ kind: "done", clockMilliseconds: 1 });
  await pass();
  expect(carriedOver[0]?.run.stopConfirmedAt).toBeUndefined();
});

/** An owner whose start has had no answer for so long, although its target answers at once; returns the stops. */
async function startSilently(silentMilliseconds: number, isLasting: boolean): Promise<string[]> {
  const stops: string[] = [];
  const state = createState({
    start: async () => new Promise(() => undefined),
    stop: async ({ task }) => {
      stops.push(task);
      return Promise.resolve(unanswered);
    },
    pace: async () => Promise.resolve(unanswered),
    renew: async () =>
      Promise.resolve(Right({ startedAtUnix: 1, clockMilliseconds: 1, present: [], ends: [] })),
  });
  const definition = { spec: "", steps: [createStep({ taskCount: 1, isLasting })] };
  const record = { jobId: "job", terms, definition, acceptedAt: 0, requestedAt: 0 };
  addJob(state, record, undefined, 0, false);
  state.targets.set(targetId, createTarget(state));
  const task = state.tasks.get("job.0.0.0");
  if (task === undefined) throw new Error("the job has no task");
  startRun(state, task, 1, targetId, undefined);
  const later = performance.now() + silentMilliseconds;
  vi.spyOn(performance, "now").mockReturnValue(later);
  for (let tick = 0; tick < 2; tick += 1) {
    stopUnwanted(state);
    await pass();
  }
  return stops;
}

test("a start that is lost is looked for and stopped long before its order has run into its timeout", async () => {
  expect(await startSilently(350, false)).toEqual(["job.0.0.0"]);
});

test("a start whose answer may just be slow is left alone, and so is one that waits for its place to be stored", async () => {
  expect(await startSilently(200, false)).toEqual([]);
  expect(await startSilently(350, true)).toEqual([]);
});
