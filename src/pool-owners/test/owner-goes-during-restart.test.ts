/**
 * Owners that go while a target restarts under its old identifier. The next owner knows only the stored takeover state, and must
 * not start a task that may run on a target which it can't reach.
 * @packageDocumentation
 */
import { afterEach, expect, test, vi } from "vitest";
import type { JobTarget, RunRecord, TaskBehaviour } from "../../stand-ins/index.js";
import {
  createStep,
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
/** Longer than the longest lease, so that a run on a silent target ends by its lease. */
const runMilliseconds = 10_000;
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
function startFixture(): OwnerFixture {
  const bornAt = Date.now() - longLivedMilliseconds;
  const clock = vi.spyOn(Date, "now").mockReturnValue(bornAt);
  const behaviour = (): TaskBehaviour => ({
    needs: oneCore,
    runMilliseconds,
    isLasting: false,
    fails: false,
  });
  const started = startOwnerFixture({
    targetCount: 2,
    coresPerTarget: 4,
    behaviour,
    longestLeaseMilliseconds,
  });
  clock.mockRestore();
  fixture = started;
  return started;
}

/** A task that runs on the next process of a target, which is cut off. */
interface CutOffRun {
  readonly fixture: OwnerFixture;
  readonly entry: TestEntry;
  readonly target: JobTarget;
  readonly run: RunRecord;
}

const task = "long.0.0.0";

/** Lets the registry name a target's present process until the function that is returned is called. */
function holdRegistration(target: JobTarget): () => void {
  const record = target.describe();
  const spy = vi.spyOn(target, "describe").mockReturnValue(record);
  return () => {
    spy.mockRestore();
  };
}

/**
 * Restarts all targets while the registry names their former processes, and submits a job whose start reaches a next process.
 * Returns in the pause after the owner has noticed that. The target is cut off then, and the owner has stored its targets,
 * because the registry names another one's next process.
 */
async function cutOffInPause(): Promise<CutOffRun> {
  const started = startFixture();
  const entry = started.startEntry("a");
  const owner = await started.owner(entry);
  await wait(firstLifeMilliseconds);
  const { fleet } = started;
  const releases = new Map([...fleet.targets].map(([targetId, each]) => [targetId, holdRegistration(each)]));
  for (const targetId of fleet.targets.keys()) fleet.restartWithWaitingOrders(targetId, outage);
  await owner.submit(submission("long", createStep({ taskCount: 1, estimateMilliseconds: runMilliseconds })));
  const run = await waitFor(() => fleet.world.history.find((each) => each.task === task));
  const target = fleet.targets.get(run.targetId);
  if (target === undefined) throw new Error("the run's target does not exist");
  await waitFor(() => entry.lines.some((line) => isReplaced(line, run.targetId)));
  target.isSilent = true;
  for (const [targetId, release] of releases) if (targetId !== run.targetId) release();
  await wait(storeMilliseconds);
  return { fixture: started, entry, target, run };
}

function isReplaced(line: string, targetId: string): boolean {
  return line.includes("event=target-session-closed") && line.includes(`target=${targetId} reason=replaced`);
}

/** Waits for the second run of the task and expects that it began after the first one had ended. */
async function expectNoOverlap({ fixture: { fleet }, run }: CutOffRun): Promise<void> {
  const second = await waitFor(() => fleet.world.history.filter((each) => each.task === task)[1]);
  expect(run.to ?? Infinity).toBeLessThanOrEqual(second.from);
  expect(run.how).toBe("lease-lapsed");
}

// Guards against a target that is missing from the takeover state while no session is open with its next process.
test("a task does not run twice when its owner crashes in the pause after its target's restart", async () => {
  const cutOff = await cutOffInPause();
  cutOff.entry.crash();
  cutOff.fixture.startEntry("b");
  await expectNoOverlap(cutOff);
}, 25_000);

// Guards against the same at a stop that writes all that is pending.
test("a task does not run twice when its owner is stopped in the pause after its target's restart", async () => {
  const cutOff = await cutOffInPause();
  await cutOff.entry.stop();
  cutOff.fixture.startEntry("b");
  await expectNoOverlap(cutOff);
}, 25_000);
