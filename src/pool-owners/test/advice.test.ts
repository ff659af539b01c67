/**
 * Queues whose policy allows only some targets to run a step: which targets an owner asks the advice service about, and
 * whether accepted jobs start on the allowed ones.
 * @packageDocumentation
 */
import { Left, Right } from "purify-ts";
import { afterEach, expect, test } from "vitest";
import { createLog, createMetrics } from "../../telemetry/index.js";
import type { TargetView } from "../../scheduling/index.js";
import { AdviceCache } from "../advice-cache.js";
import { AdviceRequests } from "../advice-requests.js";
import type { AdviceService } from "../advice-service.js";
import type { PoolOwner } from "../pool-owner.js";
import { createStep, startOwnerFixture, submission, waitFor, type OwnerFixture } from "./owner-fixture.js";

let fixture: OwnerFixture | undefined;
afterEach(() => {
  fixture?.close();
  fixture = undefined;
});

const targetCount = 36;
const coresPerTarget = 4;
const timing = { baseMilliseconds: 5, perTargetMilliseconds: 0 };

/** An advice service that allows the given targets, and records which targets each request names. */
class PolicyAdvice implements AdviceService {
  readonly asked: string[][] = [];
  readonly #allowed: ReadonlySet<string>;
  readonly #validMilliseconds: number;

  constructor(allowed: readonly string[], validMilliseconds = 600) {
    this.#allowed = new Set(allowed);
    this.#validMilliseconds = validMilliseconds;
  }

  async requestAdvice(step: string, targetIds: readonly string[]) {
    this.asked.push([...targetIds]);
    await wait(timing.baseMilliseconds);
    const allowed = targetIds.filter((targetId) => this.#allowed.has(targetId));
    const tickets = new Map(allowed.map((targetId) => [targetId, `${step}@${targetId}`]));
    return Right({ tickets, validMilliseconds: this.#validMilliseconds });
  }
}

async function wait(milliseconds: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, milliseconds));
}

function start(advice: AdviceService): OwnerFixture {
  const needs = { cpuMillicores: 1_000, memoryMegabytes: 100, accelerators: 0 };
  const behaviour = (task: string) => ({
    needs,
    runMilliseconds: 50,
    isLasting: task.startsWith("lasting"),
    fails: false,
  });
  fixture = startOwnerFixture({ targetCount, coresPerTarget, behaviour, advice });
  return fixture;
}

/** Submits a job of one step to a queue that needs advice. */
async function submit(owner: PoolOwner, jobId: string, changes = {}): Promise<void> {
  const job = submission(jobId, createStep(changes));
  const terms = { ...job.terms, needsAdvice: true, adviceTiming: timing };
  expect(await owner.submit({ ...job, terms })).toEqual({ kind: "accepted" });
}

function isComplete(owner: PoolOwner, jobId: string): boolean {
  const outcome = owner.readState(jobId);
  return outcome.kind === "state" && outcome.state === "complete";
}

// Guards against an accepted job that is never started because only the same thirty targets are asked about.
test("a job starts on an allowed target that lies behind the first request's targets", async () => {
  const advice = new PolicyAdvice(["presses-35"]);
  const started = start(advice);
  const { fleet } = started;
  const owner = await started.owner(started.startEntry("a"));
  await submit(owner, "job");
  await waitFor(() => isComplete(owner, "job"));
  expect(new Set(fleet.world.history.map(({ targetId }) => targetId))).toEqual(new Set(["presses-35"]));
});

// Guards against requests that are repeated for ever although the refusals of a step do not change.
test("a step that no target may run is asked about once for each target, and this is logged", async () => {
  const advice = new PolicyAdvice([], 400);
  const started = start(advice);
  const entry = started.startEntry("a");
  await submit(await started.owner(entry), "job");
  await waitFor(() => entry.lines.some((line) => line.includes("event=no-target-allowed")));
  await wait(600);
  expect(advice.asked.flat().length).toBe(targetCount);
  expect(new Set(advice.asked.flat()).size).toBe(targetCount);
});

// Guards against a job that the next owner does not place, because it relies on what the former one asked.
test("the next owner asks again and starts the job", async () => {
  const advice = new PolicyAdvice(["presses-35"]);
  const started = start(advice);
  const first = started.startEntry("a");
  const owner = await started.owner(first);
  await submit(owner, "job");
  first.crash();
  const next = await started.owner(started.startEntry("b"));
  await waitFor(() => isComplete(next, "job"));
});

// Guards against a ticket of a target's former process, which its next process rejects until the ticket expires.
test("a target that has restarted is asked about again", async () => {
  const advice = new PolicyAdvice(["presses-35"], 60_000);
  const started = start(advice);
  const { fleet } = started;
  const owner = await started.owner(started.startEntry("a"));
  await submit(owner, "lasting", { taskCount: 1, isLasting: true });
  await waitFor(() => fleet.world.history.length > 0);
  fleet.targets.get("presses-35")?.restart();
  await waitFor(() => fleet.world.history.length > 1);
  const namings = advice.asked.flat().filter((targetId) => targetId === "presses-35");
  expect(namings.length).toBe(2);
});

const step = { definition: createStep(), racks: new Map<string, number>() };

function viewOf(targetId: string, freeMillicores: number): TargetView {
  const resources = { cpuMillicores: freeMillicores, memoryMegabytes: 1_000, accelerators: 0 };
  const counts = { runCount: 0, longRunningCount: 0, failureScore: 0, stepCounts: new Map<string, number>() };
  return {
    targetId,
    startedAtUnix: 1,
    rack: undefined,
    labels: [],
    capacity: resources,
    free: resources,
    ...counts,
  };
}

function createCache(service: AdviceService): AdviceCache {
  const log = createLog("error", () => undefined);
  const requests = new AdviceRequests(service);
  return new AdviceCache({
    requests,
    log,
    metrics: createMetrics(),
    pool: "presses",
    onAdvice: () => undefined,
  });
}

/** Lets the steps want advice in this order, in rounds that last as long as a request. */
async function playRounds(
  cache: AdviceCache,
  rounds: number,
  steps: readonly (readonly [string, number])[],
): Promise<void> {
  for (let round = 0; round < rounds; round += 1) {
    for (const [stepKey, freeMillicores] of steps)
      cache.want({ place: { ...step, stepKey }, timing, views: [viewOf("target", freeMillicores)] });
    cache.sendRequests();
    await wait(timing.baseMilliseconds * 4);
  }
}

/** Records the steps of the requests, and allows every target for a time that is over at once. */
class RecordingAdvice implements AdviceService {
  readonly steps: string[] = [];
  readonly timeouts: number[] = [];

  async requestAdvice(stepName: string, targetIds: readonly string[], timeoutMilliseconds: number) {
    this.steps.push(stepName);
    this.timeouts.push(timeoutMilliseconds);
    await wait(timing.baseMilliseconds);
    return Right({ tickets: new Map(targetIds.map((id) => [id, "t"])), validMilliseconds: 0 });
  }
}

// Guards against steps that wait behind higher-ranked ones whose tickets are renewed again and again without any room.
test("a step with room on a target is asked about before those without, and these take turns", async () => {
  const service = new RecordingAdvice();
  const full = Array.from({ length: 6 }, (_, index) => [`full-${index}`, 0] as const);
  const cache = createCache(service);
  await playRounds(cache, 3, full);
  expect(new Set(service.steps).size).toBe(6);
  await playRounds(cache, 1, [...full, ["with-room", 4_000]]);
  expect(service.steps[6]).toBe("with-room");
});

// Guards against a queue whose advice takes longer than a fixed timeout and therefore never arrives.
test("a request waits as long as the service takes for it and for the earlier ones", async () => {
  const service = new RecordingAdvice();
  const requests = new AdviceRequests(service);
  const slow = { baseMilliseconds: 2_000, perTargetMilliseconds: 100 };
  await Promise.all(["a", "b", "c"].map(async (name) => requests.request(name, ["x", "y"], slow)));
  expect(service.steps).toEqual(["a", "b", "c"]);
  expect(service.timeouts[0]).toBeGreaterThan(2_200);
  expect(service.timeouts[1]).toBeGreaterThan(4_400);
});

// Guards against requests that stay pending after a failure, so that no advice is requested any more.
test("advice is requested again after a failed request", async () => {
  let failures = 1;
  const allowed = new PolicyAdvice(["presses-0"]);
  const started = start({
    requestAdvice: async (stepName, targetIds) => {
      failures -= 1;
      return failures >= 0 ? Left("too many requests") : allowed.requestAdvice(stepName, targetIds);
    },
  });
  const owner = await started.owner(started.startEntry("a"));
  await submit(owner, "job");
  await waitFor(() => isComplete(owner, "job"));
});

// Guards against accepted jobs that never start, because room is kept for long-running tasks where they may never run.
test("targets that the policy of a queue does not allow are not kept free for its long-running tasks", async () => {
  const allowed = ["presses-0", "presses-1"];
  const started = start(new PolicyAdvice(allowed, 600));
  const owner = await started.owner(started.startEntry("a"));
  const needs = { cpuMillicores: 1_000 * coresPerTarget, memoryMegabytes: 100, accelerators: 0 };
  await submit(owner, "lasting-0", { taskCount: 40, isLasting: true, resources: needs });
  await submit(owner, "lasting-1", { taskCount: 40, isLasting: true, resources: needs });
  await waitFor(() => started.fleet.world.history.length === allowed.length);
  expect(await owner.submit(submission("short", createStep()))).toEqual({ kind: "accepted" });
  await waitFor(() => isComplete(owner, "short"));
  const lasting = started.fleet.world.history.filter(({ task }) => task.startsWith("lasting"));
  expect(new Set(lasting.map(({ targetId }) => targetId))).toEqual(new Set(allowed));
});

// Guards against a long-running task that is stopped for a move to a target on which its queue's policy does not allow it.
test("a long-running task leaves its target only for one that the policy allows", async () => {
  const advice = new PolicyAdvice(["presses-0"], 600);
  const started = start(advice);
  const owner = await started.owner(started.startEntry("a"));
  await submit(owner, "lasting", { taskCount: 1, isLasting: true, maximumUnavailable: 1 });
  await waitFor(() => started.fleet.world.history.length === 1);
  owner.vacate(["presses-0"]);
  await wait(1_000);
  expect(started.fleet.world.history.length).toBe(1);
  expect(started.fleet.world.history[0]?.to).toBeUndefined();
});
