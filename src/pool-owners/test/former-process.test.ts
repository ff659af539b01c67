/**
 * Targets that have restarted under their old identifier, and carry out orders that were meant for their former process. No
 * task may run twice because of the leases and acknowledgements in these orders.
 * @packageDocumentation
 */
import { Left } from "purify-ts";
import { afterEach, expect, test, vi } from "vitest";
import type { JobTarget, RunRecord, TaskBehaviour } from "../../stand-ins/index.js";
import type { RenewOrder, StartOrder } from "../../task-runs/index.js";
import type { PoolOwner } from "../pool-owner.js";
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
/** Long enough that a lease by the clock of a target's first process is the longest for the next one. */
const firstLifeMilliseconds = 1_700;

/** Time in which the owner receives a report that shows a run. */
const reportMilliseconds = 150;

/** The last orders that each target was sent. */
interface SentOrders {
  readonly renewals: Map<string, RenewOrder>;
  readonly acknowledgements: Map<string, RenewOrder>;
  readonly starts: Map<string, StartOrder>;
}

interface Started extends SentOrders {
  readonly fixture: OwnerFixture;
  readonly entry: TestEntry;
  readonly owner: PoolOwner;
}

async function start(longestLeaseMilliseconds = 3_000, targetAgeMilliseconds = 0): Promise<Started> {
  const behaviour = (task: string): TaskBehaviour => ({
    needs: oneCore,
    runMilliseconds: task.startsWith("long") ? longRunMilliseconds : shortRunMilliseconds,
    isLasting: task.startsWith("lasting"),
    fails: false,
  });
  shiftClock(-targetAgeMilliseconds);
  const started = startOwnerFixture({
    targetCount: 2,
    coresPerTarget: 4,
    behaviour,
    longestLeaseMilliseconds,
  });
  vi.restoreAllMocks();
  fixture = started;
  const sent = recordOrders(started);
  const entry = started.startEntry("a");
  return { fixture: started, entry, owner: await started.owner(entry), ...sent };
}

/** Shifts the time of day, and no other clock, until mocks are restored. */
function shiftClock(milliseconds: number): void {
  const now = Date.now.bind(Date);
  vi.spyOn(Date, "now").mockImplementation(() => now() + milliseconds);
}

function recordOrders({ fleet }: OwnerFixture): SentOrders {
  const sent: SentOrders = { renewals: new Map(), acknowledgements: new Map(), starts: new Map() };
  const { orders } = fleet;
  const renew = orders.renew.bind(orders);
  const startRun = orders.start.bind(orders);
  orders.renew = async (order) => {
    const { targetId } = order.target;
    if (order.leaseUntilMilliseconds !== undefined) sent.renewals.set(targetId, order);
    if (order.acknowledgedSequence > 0) sent.acknowledgements.set(targetId, order);
    return renew(order);
  };
  orders.start = async (order) => {
    sent.starts.set(order.target.targetId, order);
    return startRun(order);
  };
  return sent;
}

/** Waits until tasks may be started on both targets. */
async function untilBothUsable({ renewals, fixture: { engine } }: Started): Promise<void> {
  await waitFor(() => {
    const stored = engine.range(`inheritance/${pool}`)[0]?.value ?? "";
    return renewals.size === 2 && stored.includes("address") && !stored.includes("unusedSince");
  });
}

async function wait(milliseconds: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, milliseconds));
}

function targetsOf({ fixture: { fleet } }: Started): JobTarget[] {
  return [...fleet.targets.values()];
}

function historyOf({ fixture: { fleet } }: Started, task: string): RunRecord[] {
  return fleet.world.history.filter((run) => run.task === task);
}

/** Waits for the first run of a task; returns it with its target. */
async function findRun(started: Started, task: string): Promise<{ run: RunRecord; target: JobTarget }> {
  const run = await waitFor(() => historyOf(started, task)[0]);
  const target = started.fixture.fleet.targets.get(run.targetId);
  if (target === undefined) throw new Error("the run's target does not exist");
  return { run, target };
}

/** Keeps a target's record in the registry as it is, until the function that is returned is called. */
function holdRegistration(target: JobTarget): () => void {
  const record = target.describe();
  const spy = vi.spyOn(target, "describe").mockReturnValue(record);
  return () => {
    spy.mockRestore();
  };
}

/**
 * Lets all targets restart while their registry records stay as they are and no renewal is answered, as after a restart that the
 * owner has not noticed.
 * @returns a function that ends both for one target
 */
async function restartUnnoticed(started: Started): Promise<(target: JobTarget) => void> {
  const { orders } = started.fixture.fleet;
  const renew = orders.renew.bind(orders);
  const cut = new Set(targetsOf(started).map((target) => target.describe().targetId));
  orders.renew = async (order) => {
    if (!cut.has(order.target.targetId)) return renew(order);
    await wait(1_000);
    return Left({ kind: "unknown", message: "no answer in time" });
  };
  // The renewals in flight are answered before the restart.
  await wait(50);
  const releases = new Map(targetsOf(started).map((target) => [target, holdRegistration(target)]));
  for (const target of targetsOf(started)) target.restart();
  return (target) => {
    cut.delete(target.describe().targetId);
    releases.get(target)?.();
  };
}

function staleOf(orders: ReadonlyMap<string, RenewOrder>, target: JobTarget): RenewOrder {
  const order = orders.get(target.describe().targetId);
  if (order === undefined) throw new Error("the target was not sent such an order");
  return order;
}

/** Waits for the second run of a task and expects that it began after the first one had ended. */
async function expectNoOverlap(started: Started, task: string): Promise<void> {
  const second = await waitFor(() => historyOf(started, task)[1]);
  const [first] = historyOf(started, task);
  expect(first?.to ?? Infinity).toBeLessThanOrEqual(second.from);
}

// Guards against two runs at once: a renewal for a former process, carried out late, extends the lease beyond what is known.
test("a late renewal for a target's former process does not let a task run on two targets", async () => {
  const started = await start();
  await wait(firstLifeMilliseconds);
  const stale = new Map(started.renewals);
  for (const target of targetsOf(started)) target.restart();
  await started.owner.submit(
    submission("long", createStep({ taskCount: 1, estimateMilliseconds: longRunMilliseconds })),
  );
  const { target } = await findRun(started, "long.0.0.0");
  await wait(reportMilliseconds);
  target.renew(staleOf(stale, target));
  target.isSilent = true;
  await expectNoOverlap(started, "long.0.0.0");
  expect(started.entry.lines.some((line) => line.includes("event=home-lost"))).toBe(false);
}, 15_000);

// Guards against the same when the renewal was carried out before the owner's first order to the new process.
test("a lease that a new process took from an earlier order counts until it has surely ended", async () => {
  const started = await start();
  await wait(firstLifeMilliseconds);
  for (const target of targetsOf(started)) {
    target.restart();
    target.renew(staleOf(started.renewals, target));
  }
  await started.owner.submit(
    submission("long", createStep({ taskCount: 1, estimateMilliseconds: longRunMilliseconds })),
  );
  const { target } = await findRun(started, "long.0.0.0");
  await wait(reportMilliseconds);
  target.isSilent = true;
  await expectNoOverlap(started, "long.0.0.0");
}, 15_000);

// Guards against the same when the owner does not notice the restart: the new process takes a start, and is cut off.
test("a start that no report has shown is not repeated while a new process may run it", async () => {
  const started = await start();
  await wait(firstLifeMilliseconds);
  const { orders } = started.fixture.fleet;
  const renew = orders.renew.bind(orders);
  const cut = new Set(targetsOf(started).map((target) => target.describe().targetId));
  orders.renew = async (order) => {
    if (!cut.has(order.target.targetId)) return renew(order);
    await wait(1_000);
    return Left({ kind: "unknown", message: "no answer in time" });
  };
  // The renewals in flight are answered before the restart.
  await wait(50);
  const releases = new Map(targetsOf(started).map((target) => [target, holdRegistration(target)]));
  for (const target of targetsOf(started)) target.restart();
  await started.owner.submit(
    submission("long", createStep({ taskCount: 1, estimateMilliseconds: longRunMilliseconds })),
  );
  const { run, target } = await findRun(started, "long.0.0.0");
  for (const [other, release] of releases) {
    if (other === target) continue;
    cut.delete(other.describe().targetId);
    release();
  }
  await waitFor(() => run.to !== undefined);
  expect(run.how).toBe("lease-lapsed");
  expect(historyOf(started, "long.0.0.0").length).toBe(1);
  cut.clear();
  releases.get(target)?.();
  await expectNoOverlap(started, "long.0.0.0");
}, 15_000);

// Guards against the same at a hand-over: the next owner does not know of the order that extended the lease.
test("the next owner waits for the longest lease of a silent target that has restarted lately", async () => {
  const started = await start(6_000);
  await wait(3 * firstLifeMilliseconds);
  for (const target of targetsOf(started)) {
    target.restart();
    target.renew(staleOf(started.renewals, target));
  }
  await started.owner.submit(
    submission("long", createStep({ taskCount: 1, estimateMilliseconds: longRunMilliseconds })),
  );
  const { target } = await findRun(started, "long.0.0.0");
  await wait(reportMilliseconds);
  target.isSilent = true;
  started.entry.crash();
  started.fixture.startEntry("b");
  await expectNoOverlap(started, "long.0.0.0");
}, 20_000);

// Guards against a run after a successful one: an acknowledgement for a former process makes the next one forget an end.
test("a late acknowledgement for a target's former process does not let a task run again", async () => {
  const started = await start();
  await untilBothUsable(started);
  await started.owner.submit(submission("first", createStep({ taskCount: 8 })));
  await waitFor(() => started.acknowledgements.size === 2);
  await wait(300);
  for (const target of targetsOf(started)) target.restart();
  const stale = new Map(started.acknowledgements);
  await started.owner.submit(submission("second", createStep({ taskCount: 1 })));
  const { run, target } = await findRun(started, "second.0.0.0");
  await wait(100);
  target.isSilent = true;
  await waitFor(() => run.to !== undefined);
  target.renew(staleOf(stale, target));
  target.isSilent = false;
  await waitFor(() => {
    const outcome = started.owner.readState("second");
    return outcome.kind === "state" && outcome.state === "complete";
  });
  expect(historyOf(started, "second.0.0.0").length).toBe(1);
}, 15_000);

// Guards against two runs at once at a hand-over: the former owner's start reaches a process that the next one has not called.
test("the next owner starts no task elsewhere before a restarted target has answered it", async () => {
  const started = await start();
  await started.owner.submit(
    submission("long", createStep({ taskCount: 1, estimateMilliseconds: longRunMilliseconds })),
  );
  const { target } = await findRun(started, "long.0.0.0");
  const order = started.starts.get(target.describe().targetId);
  if (order === undefined) throw new Error("the target was not sent a start");
  started.entry.crash();
  await wait(200);
  target.restart();
  target.start(order);
  started.fixture.fleet.setAnswerDelay(600);
  await started.fixture.owner(started.fixture.startEntry("b"));
  await wait(1_500);
  const [, second, third] = historyOf(started, "long.0.0.0");
  expect(second?.targetId).toBe(target.describe().targetId);
  expect(third).toBeUndefined();
}, 15_000);

// Guards against a task that does not run for seconds, because its ended target is expected back although another has its address.
test("the next owner does not wait for a target whose address answers for another one", async () => {
  const started = await start();
  await started.owner.submit(submission("long", createStep({ taskCount: 1 })));
  const { target } = await findRun(started, "long.0.0.0");
  const { targetId } = target.describe();
  const { fleet } = started.fixture;
  started.entry.crash();
  target.crash();
  (fleet.targets as Map<string, JobTarget>).delete(targetId);
  const renew = fleet.orders.renew.bind(fleet.orders);
  fleet.orders.renew = async (order) =>
    order.target.targetId === targetId ? Left({ kind: "refused", reason: "other-instance" }) : renew(order);
  await started.fixture.owner(started.fixture.startEntry("b"));
  const takenAt = performance.now();
  const second = await waitFor(() => historyOf(started, "long.0.0.0")[1]);
  expect(second.from - takenAt).toBeLessThan(1_500);
}, 15_000);

/** Age of processes that have run for long, as their start times say. */
const longLivedMilliseconds = 120_000;

// Guards against two runs at once at a hand-over: the former owner's start ran on a process that it had not noticed.
test("the next owner waits for the longest lease of a silent target, of whose restart no owner knows", async () => {
  const started = await start(6_000, longLivedMilliseconds);
  await wait(3 * firstLifeMilliseconds);
  const release = await restartUnnoticed(started);
  await started.owner.submit(
    submission("long", createStep({ taskCount: 1, estimateMilliseconds: longRunMilliseconds })),
  );
  const { target } = await findRun(started, "long.0.0.0");
  target.isSilent = true;
  started.entry.crash();
  for (const other of targetsOf(started)) if (other !== target) release(other);
  started.fixture.startEntry("b");
  await expectNoOverlap(started, "long.0.0.0");
}, 20_000);

// Guards against two runs at once at a hand-over: the next owner's time of day makes a process that is new look old.
test("a time of day that has jumped ahead does not shorten the next owner's wait for a silent target", async () => {
  const started = await start(6_000);
  await wait(3 * firstLifeMilliseconds);
  for (const target of targetsOf(started)) {
    target.restart();
    target.renew(staleOf(started.renewals, target));
  }
  await started.owner.submit(
    submission("long", createStep({ taskCount: 1, estimateMilliseconds: longRunMilliseconds })),
  );
  const { target } = await findRun(started, "long.0.0.0");
  await wait(reportMilliseconds);
  target.isSilent = true;
  started.entry.crash();
  shiftClock(60_000);
  started.fixture.startEntry("b");
  await expectNoOverlap(started, "long.0.0.0");
}, 20_000);

// Guards against the same with a target that answers the next owner, and is cut off after that.
test.fails(
  "a time of day that has jumped ahead does not hide a lease which an earlier owner's order extended",
  async () => {
    const started = await start(6_000);
    await wait(3 * firstLifeMilliseconds);
    for (const target of targetsOf(started)) {
      target.restart();
      target.renew(staleOf(started.renewals, target));
    }
    await wait(reportMilliseconds);
    started.entry.crash();
    shiftClock(60_000);
    const owner = await started.fixture.owner(started.fixture.startEntry("b"));
    await owner.submit(
      submission("long", createStep({ taskCount: 1, estimateMilliseconds: longRunMilliseconds })),
    );
    const { target } = await findRun(started, "long.0.0.0");
    await wait(reportMilliseconds);
    target.isSilent = true;
    await expectNoOverlap(started, "long.0.0.0");
  },
  20_000,
);

// Guards against two runs at once of a long-running task: its start was answered by a process that the owner has not noticed.
test("a start's answer that only another process can have given counts as a restart", async () => {
  const started = await start(6_000);
  await wait(3 * firstLifeMilliseconds);
  const release = await restartUnnoticed(started);
  await started.owner.submit(submission("lasting", createStep({ taskCount: 1, isLasting: true })));
  const { target } = await findRun(started, "lasting.0.0.0");
  await wait(reportMilliseconds);
  target.isSilent = true;
  for (const other of targetsOf(started)) if (other !== target) release(other);
  await expectNoOverlap(started, "lasting.0.0.0");
}, 20_000);

// Guards against two runs at once of a long-running task at a hand-over, after a restart that no owner knows of.
test.fails(
  "the next owner starts no long-running task that may run on a silent target under the longest lease",
  async () => {
    const started = await start(6_000, longLivedMilliseconds);
    await wait(3 * firstLifeMilliseconds);
    const release = await restartUnnoticed(started);
    for (const target of targetsOf(started)) target.losesAnswers = true;
    await started.owner.submit(submission("lasting", createStep({ taskCount: 1, isLasting: true })));
    const { target } = await findRun(started, "lasting.0.0.0");
    target.isSilent = true;
    started.entry.crash();
    for (const other of targetsOf(started)) {
      if (other === target) continue;
      other.losesAnswers = false;
      release(other);
    }
    started.fixture.startEntry("b");
    await expectNoOverlap(started, "lasting.0.0.0");
  },
  20_000,
);

// Guards against the same within one owner, whose start got no answer.
test.fails(
  "a long-running task whose start got no answer is not repeated while a new process may run it",
  async () => {
    const started = await start(6_000);
    await wait(3 * firstLifeMilliseconds);
    const release = await restartUnnoticed(started);
    for (const target of targetsOf(started)) target.losesAnswers = true;
    await started.owner.submit(submission("lasting", createStep({ taskCount: 1, isLasting: true })));
    const { target } = await findRun(started, "lasting.0.0.0");
    target.isSilent = true;
    for (const other of targetsOf(started)) {
      if (other === target) continue;
      other.losesAnswers = false;
      release(other);
    }
    await expectNoOverlap(started, "lasting.0.0.0");
  },
  20_000,
);

// Guards against two runs at once at a hand-over: the restarted target was recorded as never used, as its new process was silent.
test("a target whose new process has never answered is not recorded as unused while it may run earlier starts", async () => {
  const started = await start(6_000);
  await wait(3 * firstLifeMilliseconds);
  const { fleet } = started.fixture;
  for (const targetId of fleet.targets.keys())
    fleet.restartWithWaitingOrders(targetId, { outageMilliseconds: 200, heartbeatMilliseconds: 400 });
  await started.owner.submit(
    submission("long", createStep({ taskCount: 1, estimateMilliseconds: longRunMilliseconds })),
  );
  const { target } = await findRun(started, "long.0.0.0");
  target.isSilent = true;
  const { targetId } = target.describe();
  await waitFor(() => started.entry.lines.some((line) => isReplaced(line, targetId)));
  await wait(unusedMilliseconds);
  started.entry.crash();
  started.fixture.startEntry("b");
  await expectNoOverlap(started, "long.0.0.0");
}, 20_000);

/** Time in which a target that does not answer is recorded as unused. */
const unusedMilliseconds = 900;

function isReplaced(line: string, targetId: string): boolean {
  return line.includes("event=target-session-closed") && line.includes(`target=${targetId} reason=replaced`);
}

// Guards against hundreds of sessions and writes a second while the registry names the process before the restart.
test("a target that is registered as its former process is asked a few times a second, and used once its record changes", async () => {
  const started = await start();
  const [target] = targetsOf(started);
  if (target === undefined) throw new Error("there is no target");
  const { targetId } = target.describe();
  await wait(reportMilliseconds);
  const release = holdRegistration(target);
  target.restart();
  await wait(1_000);
  const opened = started.entry.lines.filter(
    (line) => line.includes("event=target-session-opened") && line.includes(`target=${targetId} `),
  );
  expect(opened.length).toBeLessThan(10);
  release();
  await started.owner.submit(submission("short", createStep({ taskCount: 8 })));
  await waitFor(() => historyOf(started, "short.0.0.7")[0]);
  await waitFor(() => started.fixture.fleet.world.history.some((run) => run.targetId === targetId));
}, 15_000);
