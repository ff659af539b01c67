/**
 * Owners with stand-in targets and an in-memory store: job states that callers read, which tasks run, and that no task runs
 * twice at once.
 * @packageDocumentation
 */
import { afterEach, expect, test, vi } from "vitest";
import type { RunRecord, TaskBehaviour } from "../../stand-ins/index.js";
import {
  createStep,
  pool,
  startOwnerFixture,
  submission,
  terms,
  waitFor,
  type OwnerFixture,
} from "./owner-fixture.js";

let fixture: OwnerFixture;
afterEach(() => {
  fixture.close();
});

const oneCore = { cpuMillicores: 1_000, memoryMegabytes: 100, accelerators: 0 };

function behave(changes: Partial<TaskBehaviour> = {}): (task: string) => TaskBehaviour {
  return () => ({ needs: oneCore, runMilliseconds: 50, isLasting: false, fails: false, ...changes });
}

function runsOf(found: OwnerFixture, task: string): RunRecord[] {
  return found.fleet.world.history.filter((run) => run.task === task);
}

/** Runs of one task that overlap in time. */
function overlaps(runs: readonly RunRecord[]): RunRecord[] {
  return runs.filter((left, index) =>
    runs.some(
      (right, other) =>
        other < index && left.from < (right.to ?? Infinity) && right.from < (left.to ?? Infinity),
    ),
  );
}

test("the steps of a job run in order, and the job is complete after them", async () => {
  fixture = startOwnerFixture({ targetCount: 3, coresPerTarget: 4, behaviour: behave() });
  const owner = await fixture.owner(fixture.startEntry("a"));
  expect(await owner.submit(submission("job", createStep(), createStep({ after: [0] })))).toEqual({
    kind: "accepted",
  });
  await waitFor(() => readState(owner, "job") === "complete");
  const firstStep = fixture.fleet.world.history.filter(({ task }) => task.startsWith("job.0.0."));
  const secondStep = fixture.fleet.world.history.filter(({ task }) => task.startsWith("job.0.1."));
  expect(firstStep.map(({ how }) => how)).toEqual(["succeeded", "succeeded"]);
  const lastEnd = Math.max(...firstStep.map(({ to }) => to ?? Infinity));
  expect(secondStep.every(({ from }) => from >= lastEnd)).toBe(true);
});

test("a job that is submitted twice at once runs once", async () => {
  fixture = startOwnerFixture({ targetCount: 3, coresPerTarget: 4, behaviour: behave() });
  const owner = await fixture.owner(fixture.startEntry("a"));
  const outcomes = await Promise.all([
    owner.submit(submission("job", createStep())),
    owner.submit(submission("job", createStep())),
  ]);
  expect(outcomes).toEqual([{ kind: "accepted" }, { kind: "accepted" }]);
  await waitFor(() => readState(owner, "job") === "complete");
  expect(await owner.submit(submission("job", createStep()))).toEqual({ kind: "accepted" });
  expect(fixture.fleet.world.history).toHaveLength(2);
});

test("a job fails once a task has failed in all attempts that its queue allows", async () => {
  fixture = startOwnerFixture({ targetCount: 2, coresPerTarget: 4, behaviour: behave({ fails: true }) });
  const owner = await fixture.owner(fixture.startEntry("a"));
  await owner.submit(submission("job", createStep({ taskCount: 1 })));
  await waitFor(() => readState(owner, "job") === "failed");
  expect(runsOf(fixture, "job.0.0.0")).toHaveLength(terms.attempts);
});

test("the next owner does not run a cancelled job", async () => {
  fixture = startOwnerFixture({
    targetCount: 3,
    coresPerTarget: 4,
    behaviour: behave({ runMilliseconds: 5_000 }),
  });
  const first = fixture.startEntry("a");
  const owner = await fixture.owner(first);
  await owner.submit(submission("job", createStep({ taskCount: 4 })));
  await waitFor(() => fixture.fleet.world.history.length === 4);
  expect(await owner.cancel("job")).toEqual({ kind: "cancelled" });
  await waitFor(() => fixture.fleet.world.history.every(({ how }) => how === "stopped"));
  first.crash();
  const next = await fixture.owner(fixture.startEntry("b"));
  expect(readState(next, "job")).toBe("cancelled");
  await new Promise((resolve) => setTimeout(resolve, 300));
  expect(fixture.fleet.world.history).toHaveLength(4);
});

test("a job that has not started counts as pending after each takeover", async () => {
  fixture = startOwnerFixture({ targetCount: 1, coresPerTarget: 1, behaviour: behave() });
  const tooLarge = { cpuMillicores: 64_000, memoryMegabytes: 100, accelerators: 0 };
  let entry = fixture.startEntry("a");
  let owner = await fixture.owner(entry);
  await owner.submit(submission("job", createStep({ isLasting: true, resources: tooLarge })));
  for (const entryId of ["b", "c"]) {
    // Longer than progress is held back to be written together with that of other jobs.
    await new Promise((resolve) => setTimeout(resolve, 500));
    entry.crash();
    entry = fixture.startEntry(entryId);
    owner = await fixture.owner(entry);
    expect(owner.countPending(terms.queue)).toBe(1);
    expect(readState(owner, "job")).toBe("queued");
  }
});

test("the next owner adopts the current runs, and no task runs twice", async () => {
  fixture = startOwnerFixture({
    targetCount: 3,
    coresPerTarget: 4,
    behaviour: behave({ runMilliseconds: 900 }),
  });
  const first = fixture.startEntry("a");
  const owner = await fixture.owner(first);
  await owner.submit(submission("job", createStep({ taskCount: 6 }), createStep({ after: [0] })));
  await waitFor(() => fixture.fleet.world.history.length === 6);
  first.crash();
  const next = await fixture.owner(fixture.startEntry("b"));
  await waitFor(() => readState(next, "job") === "complete");
  const tasks = new Set(fixture.fleet.world.history.map(({ task }) => task));
  for (const task of tasks) {
    const runs = runsOf(fixture, task);
    expect(overlaps(runs)).toEqual([]);
    expect(runs.filter(({ how }) => how === "succeeded")).toHaveLength(1);
  }
});

test("a late start that is carried out after its target has restarted does not overlap another run of the task", async () => {
  fixture = startOwnerFixture({
    targetCount: 2,
    coresPerTarget: 4,
    behaviour: behave({ runMilliseconds: 600 }),
  });
  const owner = await fixture.owner(fixture.startEntry("a"));
  fixture.fleet.setLate(400);
  await owner.submit(submission("job", createStep({ taskCount: 4 })));
  await new Promise((resolve) => setTimeout(resolve, 60));
  for (const target of fixture.fleet.targets.values()) target.restart();
  fixture.fleet.setLate(undefined);
  await waitFor(() => readState(owner, "job") === "complete");
  for (const index of [0, 1, 2, 3]) expect(overlaps(runsOf(fixture, `job.0.0.${index}`))).toEqual([]);
});

test("a long-running task of a silent target starts on another target once the lease has expired", async () => {
  fixture = startOwnerFixture({ targetCount: 3, coresPerTarget: 4, behaviour: behave({ isLasting: true }) });
  const owner = await fixture.owner(fixture.startEntry("a"));
  await owner.submit(submission("job", createStep({ taskCount: 1, isLasting: true })));
  const run = await waitFor(() => runsOf(fixture, "job.0.0.0")[0]);
  const target = fixture.fleet.targets.get(run.targetId);
  if (target !== undefined) target.isSilent = true;
  const second = await waitFor(() => runsOf(fixture, "job.0.0.0")[1]);
  expect(second.targetId).not.toBe(run.targetId);
  expect(overlaps(runsOf(fixture, "job.0.0.0"))).toEqual([]);
});

test("the next owner restarts a lost long-running task while the target of another task is silent", async () => {
  fixture = startOwnerFixture({ targetCount: 3, coresPerTarget: 4, behaviour: behave({ isLasting: true }) });
  const first = fixture.startEntry("a");
  const owner = await fixture.owner(first);
  await owner.submit(submission("job", createStep({ taskCount: 2, isLasting: true, maximumPerTarget: 1 })));
  await waitFor(() => fixture.fleet.world.history.length === 2);
  const [silent, lost] = fixture.fleet.world.history.map(({ targetId }) =>
    fixture.fleet.targets.get(targetId),
  );
  const lostTask = fixture.fleet.world.history[1]?.task ?? "";
  if (silent !== undefined) silent.isSilent = true;
  lost?.restart();
  first.crash();
  const entry = fixture.startEntry("b");
  await fixture.owner(entry);
  await waitFor(() => runsOf(fixture, lostTask).length === 2);
  const silentId = silent?.describe().targetId ?? "";
  const closed = entry.lines.find(
    (line) => line.includes("target-session-closed") && line.includes(silentId),
  );
  expect(closed).toBeUndefined();
  const silentTask = fixture.fleet.world.history[0]?.task ?? "";
  await waitFor(() => runsOf(fixture, silentTask).length === 2);
  expect(overlaps(runsOf(fixture, silentTask))).toEqual([]);
});

test("the next owner restarts a lost task that it had adopted, while another target is silent", async () => {
  fixture = startOwnerFixture({
    targetCount: 2,
    coresPerTarget: 4,
    behaviour: behave({ runMilliseconds: 60_000 }),
  });
  const first = fixture.startEntry("a");
  const owner = await fixture.owner(first);
  await owner.submit(submission("job", createStep({ taskCount: 8 })));
  await waitFor(() => fixture.fleet.world.history.length === 8);
  const [silent, seen] = fixture.fleet.targets.values();
  if (silent !== undefined) silent.isSilent = true;
  first.crash();
  const entry = fixture.startEntry("b");
  await fixture.owner(entry);
  await waitFor(() => entry.lines.some((line) => line.includes("run-adopted")));
  seen?.restart();
  await waitFor(() => fixture.fleet.world.history.length > 8);
  const silentId = silent?.describe().targetId ?? "";
  const closed = entry.lines.find(
    (line) => line.includes("target-session-closed") && line.includes(silentId),
  );
  expect(closed).toBeUndefined();
});

test("a target that has left is removed from the takeover state, so that the next owner does not wait for it", async () => {
  fixture = startOwnerFixture({ targetCount: 3, coresPerTarget: 4, behaviour: behave() });
  const first = fixture.startEntry("a");
  await fixture.owner(first);
  const isFromFormerOwner = (): boolean => {
    const [record] = fixture.engine.range(`inheritance/${pool}`);
    return record !== undefined && JSON.stringify(record.value).includes(goneId);
  };
  const [goneId = ""] = fixture.fleet.targets.keys();
  await waitFor(isFromFormerOwner);
  (fixture.fleet.targets as Map<string, unknown>).delete(goneId);
  await waitFor(() => !isFromFormerOwner());
});

test("long-running tasks leave vacated targets within the maximumUnavailable of their step", async () => {
  fixture = startOwnerFixture({ targetCount: 4, coresPerTarget: 4, behaviour: behave({ isLasting: true }) });
  const owner = await fixture.owner(fixture.startEntry("a"));
  await owner.submit(
    submission(
      "job",
      createStep({ taskCount: 3, isLasting: true, maximumPerTarget: 1, maximumUnavailable: 1 }),
    ),
  );
  await waitFor(() => fixture.fleet.world.history.length === 3);
  const emptied = fixture.fleet.world.history.slice(0, 2).map(({ targetId }) => targetId);
  let fewest = 3;
  const isEmpty = (): boolean => {
    const { targets } = owner.vacate(emptied);
    const running = fixture.fleet.world.history.filter(({ to }) => to === undefined).length;
    fewest = Math.min(fewest, running);
    return targets.filter(({ targetId, runs }) => emptied.includes(targetId) && runs > 0).length === 1;
  };
  // Only one further target has room: one task moves, the other has to stay.
  await waitFor(isEmpty);
  await new Promise((resolve) => setTimeout(resolve, 300));
  isEmpty();
  expect(fewest).toBeGreaterThanOrEqual(2);
});

test("a pool whose targets are all being vacated reports no cores and its long-running tasks as waiting", async () => {
  fixture = startOwnerFixture({ targetCount: 2, coresPerTarget: 4, behaviour: behave({ isLasting: true }) });
  const owner = await fixture.owner(fixture.startEntry("a"));
  await owner.submit(submission("job", createStep({ taskCount: 2, isLasting: true, maximumPerTarget: 1 })));
  await waitFor(() => fixture.fleet.world.history.length === 2);
  const all = [...fixture.fleet.targets.keys()];
  const report = await waitFor(() => {
    const found = owner.vacate(all);
    return found.waitingLastingTasks > 0 && found;
  });
  expect(report).toMatchObject({ cores: 0, waitingLastingTasks: 2 });
});

test("room is reserved for all tasks of a long-running step at once, not for one after the other", async () => {
  const fourCores = { ...oneCore, cpuMillicores: 4_000 };
  const behaviour = (task: string): TaskBehaviour =>
    task.startsWith("lasting")
      ? behave({ needs: fourCores, isLasting: true })(task)
      : behave({ runMilliseconds: 200 + 40 * (Number(task.split(".")[3]) % 4) })(task);
  fixture = startOwnerFixture({ targetCount: 3, coresPerTarget: 4, behaviour });
  const owner = await fixture.owner(fixture.startEntry("a"));
  await owner.submit(submission("short", createStep({ taskCount: 24, estimateMilliseconds: 200 })));
  await waitFor(() => fixture.fleet.world.history.length === 12);
  await owner.submit(
    submission(
      "lasting",
      createStep({ taskCount: 3, isLasting: true, maximumPerTarget: 1, resources: fourCores }),
    ),
  );
  await waitFor(() => fixture.fleet.world.history.length >= 15);
  const next = fixture.fleet.world.history.slice(12, 15).map(({ task }) => task.split(".")[0]);
  expect(next).toEqual(["lasting", "lasting", "lasting"]);
});

test("a long-running task that does not run gets a place before those that should leave their targets", async () => {
  const fourCores = { ...oneCore, cpuMillicores: 4_000 };
  const behaviour = behave({ needs: fourCores, isLasting: true });
  fixture = startOwnerFixture({ targetCount: 3, coresPerTarget: 4, behaviour });
  const owner = await fixture.owner(fixture.startEntry("a"));
  const step = createStep({ taskCount: 2, isLasting: true, maximumPerTarget: 1, resources: fourCores });
  await owner.submit(submission("placed", step));
  await waitFor(() => fixture.fleet.world.history.length === 2);
  const all = [...fixture.fleet.targets.keys()];
  const inUse = fixture.fleet.world.history.map(({ targetId }) => targetId);
  owner.vacate(all);
  await owner.submit(submission("waiting", { ...step, taskCount: 1 }));
  await waitFor(() => owner.vacate(all).waitingLastingTasks === 3);
  owner.vacate(inUse);
  await waitFor(() => fixture.fleet.world.history.length === 3);
  expect(fixture.fleet.world.history[2]?.task).toBe("waiting.0.0.0");
  expect(fixture.fleet.world.history.every(({ to }) => to === undefined)).toBe(true);
});

test("a starting long-running task is polled often until it is available, so that others of its step may move", async () => {
  const behaviour = behave({ isLasting: true, startMilliseconds: 300 });
  fixture = startOwnerFixture({ targetCount: 1, coresPerTarget: 4, behaviour });
  const waits: { readonly isAvailable: boolean; readonly milliseconds: number }[] = [];
  const renew = fixture.fleet.orders.renew.bind(fixture.fleet.orders);
  vi.spyOn(fixture.fleet.orders, "renew").mockImplementation(async (order) => {
    const answer = await renew(order);
    const present = answer.map((report) => report.present).orDefault([]);
    const isAvailable = present.every(({ percent }) => percent === 100);
    if (present.length > 0) waits.push({ isAvailable, milliseconds: order.waitMilliseconds });
    return answer;
  });
  const owner = await fixture.owner(fixture.startEntry("a"));
  await owner.submit(submission("job", createStep({ taskCount: 1, isLasting: true })));
  await waitFor(() => waits.filter(({ isAvailable }) => isAvailable).length > 3);
  const starting = waits.filter(({ isAvailable }) => !isAvailable).slice(2);
  expect(starting.length).toBeGreaterThan(0);
  expect(Math.max(...starting.map(({ milliseconds }) => milliseconds))).toBeLessThanOrEqual(250);
  expect(waits.at(-1)?.milliseconds).toBeGreaterThanOrEqual(1_000);
});

test("an idle pool requests all targets that a long-running step needs at once", async () => {
  fixture = startOwnerFixture({ targetCount: 2, coresPerTarget: 4, behaviour: behave({ isLasting: true }) });
  const owner = await fixture.owner(fixture.startEntry("a"));
  await owner.submit(submission("job", createStep({ taskCount: 7, isLasting: true, maximumPerTarget: 1 })));
  const report = await waitFor(() => {
    const found = owner.vacate([]);
    return found.waitingLastingTasks === 5 && found;
  });
  expect(report.wantedTargets).toBe(5);
});

test("no task starts on a draining target, and long-running tasks move away from it", async () => {
  fixture = startOwnerFixture({ targetCount: 2, coresPerTarget: 8, behaviour: behave({ isLasting: true }) });
  const owner = await fixture.owner(fixture.startEntry("a"));
  await owner.submit(
    submission("lasting", createStep({ taskCount: 2, isLasting: true, maximumPerTarget: 2 })),
  );
  await waitFor(() => fixture.fleet.world.history.length === 2);
  const leavingId = fixture.fleet.world.history[0]?.targetId ?? "";
  fixture.fleet.targets.get(leavingId)?.drain();
  const isLeft = (): boolean => {
    const running = fixture.fleet.world.history.filter(({ to }) => to === undefined);
    return running.length === 2 && running.every(({ targetId }) => targetId !== leavingId);
  };
  await waitFor(isLeft);
  const before = fixture.fleet.world.history.length;
  await owner.submit(submission("later", createStep({ taskCount: 4, isLasting: true })));
  await waitFor(() => fixture.fleet.world.history.length === before + 4);
  expect(fixture.fleet.world.history.slice(before).map(({ targetId }) => targetId)).not.toContain(leavingId);
});

test("a job is accepted and runs when the response of the store is lost", async () => {
  fixture = startOwnerFixture({ targetCount: 2, coresPerTarget: 4, behaviour: behave() });
  const entry = fixture.startEntry("a");
  const owner = await fixture.owner(entry);
  await waitFor(() => entry.lines.some((line) => line.includes("target-session-opened")));
  entry.faults.loseAnswers = 1;
  expect(await owner.submit(submission("job", createStep()))).toEqual({ kind: "accepted" });
  await waitFor(() => readState(owner, "job") === "complete");
  expect(fixture.fleet.world.history).toHaveLength(2);
});

test("a job that cannot be stored is refused within its time and never runs", async () => {
  fixture = startOwnerFixture({ targetCount: 2, coresPerTarget: 4, behaviour: behave() });
  const entry = fixture.startEntry("a");
  const owner = await fixture.owner(entry);
  entry.faults.mode = "refusing";
  const outcome = await owner.submit({ ...submission("job", createStep()), deadlineMilliseconds: 600 });
  expect(outcome.kind).toBe("refused");
  entry.faults.mode = "up";
  await new Promise((resolve) => setTimeout(resolve, 300));
  expect(fixture.fleet.world.history).toEqual([]);
});

test("unanswered starts that are carried out late never make a task run twice at once", async () => {
  fixture = startOwnerFixture({
    targetCount: 3,
    coresPerTarget: 4,
    behaviour: behave({ runMilliseconds: 200 }),
  });
  const owner = await fixture.owner(fixture.startEntry("a"));
  fixture.fleet.setLate(300);
  await owner.submit(submission("job", createStep({ taskCount: 4 })));
  await new Promise((resolve) => setTimeout(resolve, 700));
  fixture.fleet.setLate(undefined);
  await waitFor(() => readState(owner, "job") === "complete");
  for (const index of [0, 1, 2, 3]) expect(overlaps(runsOf(fixture, `job.0.0.${index}`))).toEqual([]);
});

function readState(
  owner: { readState(jobId: string): { kind: string; state?: string } },
  jobId: string,
): string {
  const outcome = owner.readState(jobId);
  return outcome.kind === "state" ? (outcome.state ?? "") : outcome.kind;
}
