/**
 * What the next owner of a pool has to know of targets that have restarted under their old identifiers, and what reaches their
 * next processes of the orders to the former ones.
 * @packageDocumentation
 */
import { afterEach, expect, test, vi } from "vitest";
import type { StepDefinition } from "../../jobs/index.js";
import type { JobTarget, RunRecord, TaskBehaviour } from "../../stand-ins/index.js";
import { decodeTakeoverState } from "../owner-record.js";
import {
  createStep,
  pool,
  startOwnerFixture,
  submission,
  waitFor,
  type OwnerFixture,
  type TestEntry,
} from "./owner-fixture.js";

let fixture: OwnerFixture | undefined;
afterEach(() => {
  vi.restoreAllMocks();
  fixture?.close();
  fixture = undefined;
});

const oneCore = { cpuMillicores: 1_000, memoryMegabytes: 100, accelerators: 0 };
const longRunMilliseconds = 10_000;
const shortRunMilliseconds = 250;
const longestLeaseMilliseconds = 6_000;
/** Age of processes that have run for long, as their start times say. */
const longLivedMilliseconds = 120_000;
/** Long enough that a lease by the clock of a target's first process is the longest for the next one. */
const firstLifeMilliseconds = 5_000;
const outage = { outageMilliseconds: 200, heartbeatMilliseconds: 0 };
/** In which the owner opens a session and stores its targets; less than the pause of a replaced process. */
const storeMilliseconds = 100;

async function wait(milliseconds: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** Creates processes that have run for long. */
function startFixture(coresPerTarget = 4): OwnerFixture {
  const bornAt = Date.now() - longLivedMilliseconds;
  const clock = vi.spyOn(Date, "now").mockReturnValue(bornAt);
  const behaviour = (name: string): TaskBehaviour => ({
    needs: oneCore,
    runMilliseconds: name.startsWith("long") ? longRunMilliseconds : shortRunMilliseconds,
    isLasting: name.startsWith("lasting"),
    fails: false,
  });
  const started = startOwnerFixture({
    targetCount: 2,
    coresPerTarget,
    behaviour,
    longestLeaseMilliseconds,
  });
  clock.mockRestore();
  fixture = started;
  return started;
}

/** Lets the registry name a target's present process until the function that is returned is called. */
function holdRegistration(target: JobTarget): () => void {
  const record = target.describe();
  const spy = vi.spyOn(target, "describe").mockReturnValue(record);
  return () => {
    spy.mockRestore();
  };
}

function historyOf({ fleet }: OwnerFixture, task: string): RunRecord[] {
  return fleet.world.history.filter((run) => run.task === task);
}

function isReplaced(line: string, targetId: string): boolean {
  return line.includes("event=target-session-closed") && line.includes(`target=${targetId} reason=replaced`);
}

function longRunningStep(): StepDefinition {
  return createStep({ taskCount: 1, isLasting: true });
}

/** A long-running task that runs on the next process of a target, which is cut off while the registry names the former one. */
async function cutOffLongRunning(started: OwnerFixture): Promise<{ entry: TestEntry; run: RunRecord }> {
  const entry = started.startEntry("a");
  const owner = await started.owner(entry);
  await wait(firstLifeMilliseconds);
  const { fleet } = started;
  const releases = new Map([...fleet.targets].map(([targetId, each]) => [targetId, holdRegistration(each)]));
  for (const targetId of fleet.targets.keys()) fleet.restartWithWaitingOrders(targetId, outage);
  await owner.submit(submission("lasting", longRunningStep()));
  const run = await waitFor(() => historyOf(started, "lasting.0.0.0")[0]);
  const target = fleet.targets.get(run.targetId);
  if (target === undefined) throw new Error("the run's target does not exist");
  await waitFor(() => entry.lines.some((line) => isReplaced(line, run.targetId)));
  target.isSilent = true;
  for (const [targetId, release] of releases) if (targetId !== run.targetId) release();
  await wait(storeMilliseconds);
  return { entry, run };
}

// Guards against a record that names the former process of a target although its owner knows of the next one.
test("a long-running task does not run twice when its owner is stopped after it has noticed its target's restart", async () => {
  const started = startFixture();
  const { entry, run } = await cutOffLongRunning(started);
  await entry.stop();
  started.startEntry("b");
  const second = await waitFor(() => historyOf(started, "lasting.0.0.0")[1]);
  expect(run.to ?? Infinity).toBeLessThanOrEqual(second.from);
}, 25_000);

// Guards against the same within one owner.
test("a long-running task does not run twice when its owner stays after it has noticed its target's restart", async () => {
  const started = startFixture();
  const { run } = await cutOffLongRunning(started);
  const second = await waitFor(() => historyOf(started, "lasting.0.0.0")[1]);
  expect(run.to ?? Infinity).toBeLessThanOrEqual(second.from);
}, 25_000);

/** How long a call waits in its entry for a connection. */
const queueMilliseconds = 700;

// Guards against an acknowledgement for a target's former process that waits in its entry until the next process has ended a run.
test.fails(
  "a renewal that waits for a connection does not acknowledge an end of its target's next process",
  async () => {
    const started = startFixture();
    const entry = started.startEntry("a");
    const owner = await started.owner(entry);
    const { orders, targets } = started.fleet;
    const renew = orders.renew.bind(orders);
    const queued = new Set<string>();
    let isBusy = false;
    orders.renew = async (order) => {
      const { targetId } = order.target;
      if (isBusy && order.acknowledgedSequence > 0 && !queued.has(targetId)) {
        queued.add(targetId);
        await wait(queueMilliseconds);
      }
      return renew(order);
    };
    await wait(2_000);
    isBusy = true;
    await owner.submit(submission("first", createStep({ taskCount: 8 })));
    await waitFor(() => queued.size === targets.size);
    const releases = [...targets.values()].map(holdRegistration);
    for (const target of targets.values()) target.restart();
    await owner.submit(submission("second", createStep({ taskCount: 1 })));
    await wait(1_000);
    for (const release of releases) release();
    await waitFor(() => {
      const outcome = owner.readState("second");
      return outcome.kind === "state" && outcome.state === "complete";
    });
    expect(historyOf(started, "second.0.0.0").map(({ how }) => how)).toEqual(["succeeded"]);
  },
  15_000,
);

/** Lets the registry not list a target until the function that is returned is called. */
function unlist(target: JobTarget): () => void {
  const spy = vi.spyOn(target, "describe").mockReturnValue({ ...target.describe(), pool: "none" });
  return () => {
    spy.mockRestore();
  };
}

// Guards against a target that is missing from the takeover state because its record has lapsed when its next process answers.
test("a task does not run twice when its owner stops after an unlisted target has restarted", async () => {
  const started = startFixture();
  const entry = started.startEntry("a");
  const owner = await started.owner(entry);
  await wait(firstLifeMilliseconds);
  const { fleet } = started;
  const releases = new Map([...fleet.targets].map(([targetId, each]) => [targetId, holdRegistration(each)]));
  for (const targetId of fleet.targets.keys()) fleet.restartWithWaitingOrders(targetId, outage);
  await owner.submit(
    submission("long", createStep({ taskCount: 1, estimateMilliseconds: longRunMilliseconds })),
  );
  await wait(50);
  releases.forEach((release) => {
    release();
  });
  const relists = new Map([...fleet.targets].map(([targetId, each]) => [targetId, unlist(each)]));
  const run = await waitFor(() => historyOf(started, "long.0.0.0")[0]);
  const target = fleet.targets.get(run.targetId);
  if (target === undefined) throw new Error("the run's target does not exist");
  await waitFor(() => entry.lines.some((line) => isReplaced(line, run.targetId)));
  target.isSilent = true;
  for (const [targetId, relist] of relists) if (targetId !== run.targetId) relist();
  await wait(storeMilliseconds);
  await entry.stop();
  started.startEntry("b");
  const second = await waitFor(() => historyOf(started, "long.0.0.0")[1]);
  expect(run.to ?? Infinity).toBeLessThanOrEqual(second.from);
}, 25_000);

/** More jobs than one transaction of the store can contain. */
const jobCount = 40;
/** After the takeover; the lease lasts longer, so that the ends on the silent target stay valid. */
const silenceMilliseconds = 100;

// Guards against a target that is recorded as unused while the ends of its runs are neither stored nor acknowledged.
test("a task that has succeeded on a vacated target does not run again when its owner goes before that is stored", async () => {
  const started = startFixture(2 * jobCount);
  const entry = started.startEntry("a");
  const owner = await started.owner(entry);
  const [target, other] = [...started.fleet.targets.values()];
  if (target === undefined || other === undefined) throw new Error("there are no two targets");
  const { targetId } = target.describe();
  const key = `inheritance/${pool}`;
  const unwatch = started.engine.watch(key, `${key}~`, 0, ({ value, revision }) => {
    const stored = decodeTakeoverState(JSON.parse(value ?? "{}"), revision).targets[targetId];
    if (stored?.unusedSince === undefined || historyOf(started, "job0.0.0.0").length === 0) return;
    target.isSilent = true;
    entry.crash();
  });
  owner.vacate([other.describe().targetId]);
  await wait(2_000);
  const steps = [createStep({ taskCount: 1 }), createStep({ taskCount: 1, after: [0] })];
  const jobIds = Array.from({ length: jobCount }, (_, index) => `job${index}`);
  for (const jobId of jobIds) void owner.submit(submission(jobId, ...steps));
  await waitFor(() => started.fleet.world.history.length === jobCount);
  owner.vacate([targetId]);
  await waitFor(() => target.isSilent);
  unwatch();
  await started.owner(started.startEntry("b"));
  await wait(silenceMilliseconds);
  target.isSilent = false;
  await wait(3_000);
  const repeated = jobIds.filter((jobId) => {
    const [first, second] = historyOf(started, `${jobId}.0.0.0`);
    return second !== undefined && first?.acknowledgedAt !== undefined;
  });
  expect(repeated).toEqual([]);
}, 25_000);
