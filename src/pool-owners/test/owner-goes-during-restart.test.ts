/**
 * Owners that go while a target restarts under its old identifier. The next owner knows only the stored takeover state, and must
 * not start a task that may run on a target which it can't reach.
 * @packageDocumentation
 */
import { expect, test, type TestContext } from "vitest";
import type { StepDefinition } from "../../jobs/index.js";
import type { JobTarget } from "../../stand-ins/index.js";
import { createStep, waitFor } from "./owner-fixture.js";
import { RestartScene, longStep, wait } from "./restart-scene.js";

const task = "long.0.0.0";
/** In which the owner opens a session and stores its targets; less than the pause of a replaced process. */
const storeMilliseconds = 100;
const testMilliseconds = 25_000;

/** A task that runs on the next process of a target, of which the registry names the former one. */
interface Restarted {
  readonly scene: RestartScene;
  readonly target: JobTarget;
  readonly targetId: string;
  /** Lets the registry name the present processes. */
  readonly release: (isReleased: (targetId: string) => boolean) => void;
}

/** Restarts all targets, and returns as soon as a start that was sent meanwhile has reached a next process. */
async function startOnNextProcess(
  context: TestContext,
  jobId = "long",
  step: StepDefinition = longStep,
  targetCount = 2,
): Promise<Restarted> {
  const scene = new RestartScene(context, targetCount);
  await scene.submit("short", createStep({ taskCount: 1 }));
  await waitFor(() => scene.runsOf("short.0.0.0")[0]?.acknowledgedAt);
  const release = scene.restartAll();
  await scene.submit(jobId, step);
  const { run, target } = await scene.findRun(`${jobId}.0.0.0`);
  return { scene, target, targetId: run.targetId, release };
}

/**
 * Goes on until the pause after the owner has noticed the restart. The target is cut off then, and the owner has stored its
 * targets, because the registry names the next processes of the others.
 */
async function cutOffInPause(restarted: Restarted): Promise<void> {
  const { scene, target, targetId, release } = restarted;
  await scene.untilReplaced(targetId);
  target.isSilent = true;
  release((other) => other !== targetId);
  await wait(storeMilliseconds);
}

// Guards against a target that is missing from the takeover state while no session is open with its next process.
test.concurrent(
  "a task does not run twice when its owner crashes in the pause after its target's restart",
  async (context) => {
    const restarted = await startOnNextProcess(context);
    await cutOffInPause(restarted);
    restarted.scene.entry.crash();
    restarted.scene.next();
    await restarted.scene.expectNoOverlap(task);
  },
  testMilliseconds,
);

// Guards against the same at a stop that writes all that is pending.
test.concurrent(
  "a task does not run twice when its owner is stopped in the pause after its target's restart",
  async (context) => {
    const restarted = await startOnNextProcess(context);
    await cutOffInPause(restarted);
    await restarted.scene.entry.stop();
    restarted.scene.next();
    await restarted.scene.expectNoOverlap(task);
  },
  testMilliseconds,
);

// Guards against the same in a later pause: the registry goes on to name the former process.
test.concurrent(
  "a task does not run twice when its owner goes in a later pause, while the registry names the former process",
  async (context) => {
    const { scene, target, targetId, release } = await startOnNextProcess(context);
    await scene.untilReplaced(targetId, 3);
    target.isSilent = true;
    release((other) => other !== targetId);
    await wait(storeMilliseconds);
    scene.entry.crash();
    scene.next();
    await scene.expectNoOverlap(task);
  },
  testMilliseconds,
);

// Guards against the same for an awaited target: the second owner notices the restart, and goes in its turn.
test.concurrent(
  "a task does not run twice when a second owner goes in the pause after a restart that the first one had not noticed",
  async (context) => {
    const { scene, target, targetId, release } = await startOnNextProcess(context);
    scene.entry.crash();
    scene.next();
    await scene.untilReplaced(targetId);
    target.isSilent = true;
    release((other) => other !== targetId);
    await wait(storeMilliseconds);
    await scene.entry.stop();
    scene.next();
    await scene.expectNoOverlap(task);
  },
  testMilliseconds,
);

test.concurrent(
  "a task does not run twice when its owner crashes as soon as it has noticed its target's restart",
  async (context) => {
    const { scene, target, targetId, release } = await startOnNextProcess(context);
    await scene.untilReplaced(targetId);
    target.isSilent = true;
    scene.entry.crash();
    release((other) => other !== targetId);
    scene.next();
    await scene.expectNoOverlap(task);
  },
  testMilliseconds,
);

test.concurrent(
  "a task does not run twice when its owner crashes before any answer to its start",
  async (context) => {
    const { scene, target, targetId, release } = await startOnNextProcess(context);
    target.isSilent = true;
    scene.entry.crash();
    release((other) => other !== targetId);
    scene.next();
    await scene.expectNoOverlap(task);
  },
  testMilliseconds,
);

for (const manner of ["crash", "stop"] as const) {
  test.concurrent(
    `a task does not run twice when its owner goes with a ${manner} once the next process is registered and has not answered`,
    async (context) => {
      const { scene, target, targetId, release } = await startOnNextProcess(context);
      await scene.untilReplaced(targetId);
      target.isSilent = true;
      release(() => true);
      await scene.untilLogged([
        "event=target-session-opened",
        `target=${targetId}`,
        "formerOrders=of-this-owner",
      ]);
      if (manner === "crash") scene.entry.crash();
      else await scene.entry.stop();
      scene.next();
      await scene.expectNoOverlap(task);
    },
    testMilliseconds,
  );
}

test.concurrent(
  "a task does not run twice when its owner crashes as soon as its fencing token has risen for the next process",
  async (context) => {
    const { scene, target, targetId, release } = await startOnNextProcess(context);
    await scene.untilReplaced(targetId);
    release(() => true);
    const raised = await scene.untilLogged(["event=fencing-token-raised"]);
    target.isSilent = true;
    scene.entry.crash();
    scene.next();
    const taken = await scene.untilLogged(["event=home-taken"]);
    expect(readToken(taken)).toBeGreaterThan(readToken(raised));
    await scene.expectNoOverlap(task);
  },
  testMilliseconds,
);

function readToken(line: string): number {
  return Number(/fencingToken=(\d+)/.exec(line)?.[1]);
}

test.concurrent(
  "a task does not run twice when two owners in a row can't reach its target",
  async (context) => {
    const { scene, target, targetId, release } = await startOnNextProcess(context);
    target.isSilent = true;
    scene.entry.crash();
    release((other) => other !== targetId);
    scene.next();
    await scene.owner();
    await scene.entry.stop();
    scene.next();
    await scene.expectNoOverlap(task);
  },
  testMilliseconds,
);

/** In which a target that does not answer is recorded as unused. */
const unusedMilliseconds = 900;

test.concurrent(
  "a task does not run twice when the second owner goes after it has recorded its silent target as unused",
  async (context) => {
    const { scene, target, targetId, release } = await startOnNextProcess(context);
    target.isSilent = true;
    scene.entry.crash();
    release((other) => other !== targetId);
    scene.next();
    await scene.owner();
    await wait(unusedMilliseconds);
    expect(scene.stored().targets[targetId]?.unusedSince).toBeDefined();
    await scene.entry.stop();
    scene.next();
    await scene.expectNoOverlap(task);
  },
  testMilliseconds,
);

// Guards against a start of which only the owner's memory knows, for a target that the registry has dropped.
test.concurrent(
  "a task does not run twice when its owner goes after the record of its restarted target has lapsed in the registry",
  async (context) => {
    const { scene, target, targetId, release } = await startOnNextProcess(context);
    await scene.untilReplaced(targetId);
    target.isSilent = true;
    release((other) => other !== targetId);
    unlist(scene, targetId);
    await wait(1_000);
    scene.entry.crash();
    scene.next();
    await scene.expectNoOverlap(task);
  },
  testMilliseconds,
);

test.concurrent(
  "a restarted target that does not return leaves the takeover state only when its leases have ended",
  async (context) => {
    const { scene, target, targetId, release } = await startOnNextProcess(context);
    await scene.untilReplaced(targetId);
    target.isSilent = true;
    release((other) => other !== targetId);
    unlist(scene, targetId);
    await waitFor(() => scene.stored().targets[targetId] === undefined);
    expect(scene.runsOf(task)[0]?.to).toBeDefined();
    await scene.entry.stop();
    scene.next();
    await scene.expectNoOverlap(task);
  },
  testMilliseconds,
);

/** Removes a target from the registry for all entries; it goes on to run. */
function unlist({ fixture: { fleet } }: RestartScene, targetId: string): void {
  const target = fleet.targets.get(targetId);
  (fleet.targets as Map<string, JobTarget>).delete(targetId);
  const timer = setInterval(() => {
    target?.advance();
    if (!fleet.world.history.some((run) => run.targetId === targetId && run.to === undefined))
      clearInterval(timer);
  }, 5);
}

// Guards against an empty record of targets where the stored one can't be read.
test.concurrent(
  "a task does not run twice when the stored takeover state can't be read",
  async (context) => {
    const { scene, target, targetId, release } = await startOnNextProcess(context);
    target.isSilent = true;
    scene.entry.crash();
    release((other) => other !== targetId);
    const { engine } = scene.fixture;
    const [stored] = engine.range("inheritance/presses");
    engine.write({
      key: "inheritance/presses",
      value: JSON.stringify({ homes: "two" }),
      expectedRevision: stored?.revision ?? 0,
      leaseId: undefined,
    });
    scene.next();
    await scene.expectNoOverlap(task);
  },
  testMilliseconds,
);

test.concurrent(
  "a task does not run twice when the store's answer to the record of its restarted target is lost",
  async (context) => {
    const { scene, target, targetId, release } = await startOnNextProcess(context);
    await scene.untilReplaced(targetId);
    scene.entry.faults.loseAnswers = 1;
    release(() => true);
    await scene.untilLogged(["event=journal-failed", "result=unknown"]);
    target.isSilent = true;
    scene.entry.crash();
    scene.next();
    await scene.expectNoOverlap(task);
  },
  testMilliseconds,
);

test.concurrent(
  "a task does not run twice when its owner loses the store and goes on until its lease has ended",
  async (context) => {
    const { scene, target, targetId, release } = await startOnNextProcess(context);
    scene.entry.faults.mode = "down";
    await scene.untilReplaced(targetId);
    target.isSilent = true;
    release((other) => other !== targetId);
    scene.next();
    await scene.expectNoOverlap(task);
  },
  testMilliseconds,
);

// Guards against the same for one of several tasks that start together.
test.concurrent(
  "no task of a gang runs twice when its owner goes in the pause after a restart",
  async (context) => {
    const gang = createStep({ taskCount: 2, isGang: true, estimateMilliseconds: 10_000 });
    const { scene, release } = await startOnNextProcess(context, "long", gang, 3);
    const second = await scene.findRun("long.0.0.1");
    const first = await scene.findRun(task);
    const targets = new Map([first, second].map(({ run, target }) => [run.targetId, target]));
    for (const [targetId, target] of targets) {
      await scene.untilReplaced(targetId);
      target.isSilent = true;
    }
    release((other) => !targets.has(other));
    await wait(storeMilliseconds);
    await scene.entry.stop();
    scene.next();
    await scene.expectNoOverlap(task);
    await scene.expectNoOverlap("long.0.0.1");
  },
  testMilliseconds,
);

// Guards against the same for a long-running task, which is searched for on its stored place.
test.concurrent(
  "a long-running task does not run twice when its owner goes in the pause after its target's restart",
  async (context) => {
    const lasting = createStep({ taskCount: 1, isLasting: true });
    const restarted = await startOnNextProcess(context, "lasting", lasting);
    await cutOffInPause(restarted);
    restarted.scene.entry.crash();
    restarted.scene.next();
    await restarted.scene.expectNoOverlap("lasting.0.0.0");
  },
  testMilliseconds,
);

// Guards against the same for a checkpointed task.
test.concurrent(
  "a checkpointed task does not run twice when its owner goes in the pause after its target's restart",
  async (context) => {
    const checkpointed = createStep({ taskCount: 1, isCheckpointed: true, estimateMilliseconds: 10_000 });
    const restarted = await startOnNextProcess(context, "long", checkpointed);
    await cutOffInPause(restarted);
    restarted.scene.entry.crash();
    restarted.scene.next();
    await restarted.scene.expectNoOverlap(task);
  },
  testMilliseconds,
);

test.concurrent(
  "a task does not run twice when its owner goes after it has begun to vacate its restarted target",
  async (context) => {
    const { scene, target, targetId, release } = await startOnNextProcess(context);
    const owner = await scene.owner();
    owner.vacate([targetId]);
    await scene.untilReplaced(targetId);
    release(() => true);
    await scene.untilLogged(["event=fencing-token-raised"]);
    target.isSilent = true;
    await wait(unusedMilliseconds);
    scene.entry.crash();
    scene.next();
    await scene.expectNoOverlap(task);
  },
  testMilliseconds,
);

test.concurrent(
  "no task is started on a target that was vacated before the use of the target is stored again",
  async (context) => {
    const scene = new RestartScene(context, 1);
    const owner = await scene.owner();
    owner.vacate(["presses-0"]);
    await waitFor(() => scene.stored().targets["presses-0"]?.unusedSince === 0);
    scene.entry.faults.loseAnswers = 1;
    owner.vacate([]);
    await scene.submit("long", longStep);
    await scene.findRun(task);
    scene.expectAllStored();
  },
  testMilliseconds,
);

// Guards against a stop that is known to the former owner alone.
test.concurrent(
  "a cancelled task ends on its target when its owner goes in the pause after the target's restart",
  async (context) => {
    const restarted = await startOnNextProcess(context);
    const { scene, target, targetId, release } = restarted;
    await scene.untilReplaced(targetId);
    const owner = await scene.owner();
    const cancelled = await owner.cancel("long");
    expect(cancelled.kind).toBe("cancelled");
    scene.entry.crash();
    scene.next();
    release(() => true);
    const { run } = await scene.findRun(task);
    await waitFor(() => run.to !== undefined);
    expect(run.how).toBe("stopped");
    expect(target.isSilent).toBe(false);
    expect(scene.runsOf(task).length).toBe(1);
  },
  testMilliseconds,
);
