/**
 * A workspace's cap across two pools whose owners are on two entries: whatever fails, the workspace never has more runs than
 * its cap, and no pool waits for quota that no other pool uses.
 * @packageDocumentation
 */
import { afterEach, expect, test } from "vitest";
import type { RunRecord, TaskBehaviour } from "../../stand-ins/index.js";
import { createWorkspaceTable, quotaPrefix, type WorkspaceTable } from "../../workspaces/index.js";
import {
  createStep,
  pool,
  startOwnerFixture,
  submission,
  waitFor,
  type OwnerFixture,
  type TestEntry,
} from "./owner-fixture.js";
import type { PoolOwner } from "../pool-owner.js";

const other = "ovens";
const oneCore = { cpuMillicores: 1_000, memoryMegabytes: 100, accelerators: 0 };

let fixture: OwnerFixture;
afterEach(() => {
  fixture.close();
});

function tableOf(caps: Readonly<Record<string, number>>): WorkspaceTable {
  const definitions = Object.entries(caps).map(([name, cores]) => ({
    name,
    weight: 1,
    cap: { cpuMillicores: cores * 1_000, memoryMegabytes: 0, accelerators: 0 },
    keys: [name],
  }));
  return createWorkspaceTable(definitions).unsafeCoerce();
}

function start(runMilliseconds: number, workspaces: () => WorkspaceTable | undefined): void {
  const behaviour = (): TaskBehaviour => ({
    needs: oneCore,
    runMilliseconds,
    isLasting: false,
    fails: false,
  });
  fixture = startOwnerFixture({
    targetCount: 3,
    coresPerTarget: 4,
    otherPools: [other],
    workspaces,
    behaviour,
  });
}

async function startTwo(): Promise<{ entries: [TestEntry, TestEntry]; owners: [PoolOwner, PoolOwner] }> {
  const entries: [TestEntry, TestEntry] = [
    fixture.startEntry("a", undefined, [pool]),
    fixture.startEntry("b", undefined, [other]),
  ];
  const owners: [PoolOwner, PoolOwner] = [
    await fixture.owner(entries[0]),
    await fixture.owner(entries[1], other),
  ];
  return { entries, owners };
}

async function submit(owner: PoolOwner, jobId: string, taskCount: number): Promise<void> {
  const job = submission(jobId, createStep({ taskCount, estimateMilliseconds: 10 }));
  const terms = { ...job.terms, pool: owner.pool, objectiveMilliseconds: 120_000 };
  const outcome = await owner.submit({ ...job, terms, workspace: jobId.split("-")[0] });
  expect(outcome).toEqual({ kind: "accepted" });
}

/** Runs of a workspace in all pools. */
function runsOf(workspace: string): RunRecord[] {
  const all = [...fixture.fleets.values()].flatMap(({ world }) => world.history);
  return all.filter(({ task }) => task.startsWith(`${workspace}-`));
}

function countAt(runs: readonly RunRecord[], at: number): number {
  return runs.filter(({ from, to }) => from <= at && at < (to ?? Infinity)).length;
}

/** Highest number of concurrent runs at the time of any start, by the history of the targets. */
function mostRunning(workspace: string, since = 0): number {
  const runs = runsOf(workspace);
  return Math.max(0, ...runs.filter(({ from }) => from >= since).map(({ from }) => countAt(runs, from)));
}

function countRunning(workspace: string): number {
  return runsOf(workspace).filter(({ to }) => to === undefined).length;
}

async function wait(milliseconds: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, milliseconds));
}

async function waitForEnd(entry: TestEntry, name: string, jobId: string): Promise<void> {
  await waitFor(() => {
    const outcome = entry.ownershipManager.owner(name)?.readState(jobId);
    return outcome?.kind === "state" && outcome.state === "complete";
  });
}

test("two pools that compete for one cap use all of it and never exceed it", async () => {
  start(100, () => tableOf({ w: 6 }));
  const { entries, owners } = await startTwo();
  await Promise.all([submit(owners[0], "w-1", 40), submit(owners[1], "w-2", 40)]);
  await Promise.all([waitForEnd(entries[0], pool, "w-1"), waitForEnd(entries[1], other, "w-2")]);
  expect(mostRunning("w")).toBe(6);
  expect(runsOf("w")).toHaveLength(80);
});

test("a workspace at its cap does not delay the jobs of another workspace in the pool", async () => {
  start(1_500, () => tableOf({ w: 2, v: 6 }));
  const { entries, owners } = await startTwo();
  await submit(owners[0], "w-1", 30);
  await waitFor(() => countRunning("w") === 2);
  const submittedAt = performance.now();
  await submit(owners[0], "v-1", 6);
  await waitFor(() => countRunning("v") === 6);
  expect(Math.max(...runsOf("v").map(({ from }) => from)) - submittedAt).toBeLessThan(1_000);
  expect(mostRunning("w")).toBe(2);
  expect(entries[0].metrics.value("workspaces_at_limit", { pool })).toBe(1);
  const refusals = entries[0].lines.filter((line) => line.includes("quota-refused"));
  expect(refusals.length).toBeGreaterThan(0);
  expect(refusals.length).toBeLessThan(4);
});

test("a share that a pool does not use any more goes to the other one at once", async () => {
  start(300, () => tableOf({ w: 6 }));
  const { entries, owners } = await startTwo();
  await submit(owners[0], "w-1", 6);
  await waitForEnd(entries[0], pool, "w-1");
  const submittedAt = performance.now();
  await submit(owners[1], "w-2", 6);
  await waitFor(() => countRunning("w") === 6);
  expect(Math.max(...runsOf("w").map(({ from }) => from)) - submittedAt).toBeLessThan(1_500);
  await waitForEnd(entries[1], other, "w-2");
  await wait(1_600);
  const [record] = fixture.engine.range(`${quotaPrefix}w`);
  expect(JSON.parse(record?.value ?? "")).toEqual({ pools: {} });
});

test("the runs of a crashed owner count until its successor has received their ends", async () => {
  start(1_800, () => tableOf({ w: 6 }));
  const { entries, owners } = await startTwo();
  await submit(owners[0], "w-1", 12);
  await waitFor(() => countRunning("w") === 6);
  entries[0].crash();
  await submit(owners[1], "w-2", 12);
  const next = fixture.startEntry("c", undefined, [pool]);
  await Promise.all([waitForEnd(next, pool, "w-1"), waitForEnd(entries[1], other, "w-2")]);
  expect(mostRunning("w")).toBe(6);
});

test("runs on a target that does not answer to the successor count until they have surely ended", async () => {
  start(60_000, () => tableOf({ w: 6 }));
  const { entries, owners } = await startTwo();
  await submit(owners[0], "w-1", 6);
  await waitFor(() => countRunning("w") === 6);
  const silent = new Set(runsOf("w").map(({ targetId }) => targetId));
  for (const targetId of silent) {
    const target = fixture.fleet.targets.get(targetId);
    if (target !== undefined) target.isSilent = true;
  }
  entries[0].crash();
  const next = fixture.startEntry("c", undefined, [pool]);
  await submit(await fixture.owner(next), "w-3", 6);
  await submit(owners[1], "w-2", 6);
  await waitFor(() => runsOf("w").length >= 12);
  expect(mostRunning("w")).toBe(6);
});

test.each([3_000, 10_000])(
  "an owner that loses the store for %i ms starts nothing above the cap",
  async (cutOff) => {
    start(150, () => tableOf({ w: 6 }));
    const { entries, owners } = await startTwo();
    await Promise.all([submit(owners[0], "w-1", 200), submit(owners[1], "w-2", 100)]);
    await waitFor(() => countRunning("w") === 6);
    entries[0].faults.mode = "down";
    const next = fixture.startEntry("c", undefined, [pool]);
    await wait(cutOff);
    entries[0].faults.mode = "up";
    await waitForEnd(next, pool, "w-1");
    await waitForEnd(entries[1], other, "w-2");
    expect(mostRunning("w")).toBe(6);
  },
  40_000,
);

test("a store outage of 9 s leads to no start above the cap, and work continues after it", async () => {
  start(150, () => tableOf({ w: 6 }));
  const { entries, owners } = await startTwo();
  await Promise.all([submit(owners[0], "w-1", 60), submit(owners[1], "w-2", 60)]);
  await waitFor(() => countRunning("w") === 6);
  for (const { faults } of entries) faults.mode = "down";
  await wait(9_000);
  for (const { faults } of entries) faults.mode = "up";
  await Promise.all([waitForEnd(entries[0], pool, "w-1"), waitForEnd(entries[1], other, "w-2")]);
  expect(mostRunning("w")).toBe(6);
}, 40_000);

test("lost responses of the store lead to no start above the cap", async () => {
  start(100, () => tableOf({ w: 6 }));
  const { entries, owners } = await startTwo();
  const lose = setInterval(() => {
    for (const { faults } of entries) faults.loseAnswers += 1;
  }, 60);
  await Promise.all([submit(owners[0], "w-1", 40), submit(owners[1], "w-2", 40)]);
  await wait(2_000);
  clearInterval(lose);
  for (const { faults } of entries) faults.loseAnswers = 0;
  await Promise.all([waitForEnd(entries[0], pool, "w-1"), waitForEnd(entries[1], other, "w-2")]);
  expect(mostRunning("w")).toBe(6);
}, 40_000);

test("starts that are carried out late count against the cap", async () => {
  start(400, () => tableOf({ w: 6 }));
  const { entries, owners } = await startTwo();
  fixture.fleet.setLate(700);
  await Promise.all([submit(owners[0], "w-1", 12), submit(owners[1], "w-2", 24)]);
  await wait(2_500);
  fixture.fleet.setLate(undefined);
  await Promise.all([waitForEnd(entries[0], pool, "w-1"), waitForEnd(entries[1], other, "w-2")]);
  expect(mostRunning("w")).toBeLessThanOrEqual(6);
}, 40_000);

test("after a cap is lowered below the current runs, no task starts until the runs fit within it", async () => {
  let table = tableOf({ w: 10 });
  start(500, () => table);
  const { entries, owners } = await startTwo();
  await Promise.all([submit(owners[0], "w-1", 20), submit(owners[1], "w-2", 20)]);
  await waitFor(() => countRunning("w") === 10);
  table = tableOf({ w: 4 });
  const loweredAt = performance.now();
  await Promise.all([waitForEnd(entries[0], pool, "w-1"), waitForEnd(entries[1], other, "w-2")]);
  // Start orders that were sent before the change may be carried out up to 50 ms later.
  expect(mostRunning("w", loweredAt + 50)).toBe(4);
  expect(mostRunning("w")).toBe(10);
}, 40_000);

test("a gang of a workspace starts with all its tasks or not at all", async () => {
  start(400, () => tableOf({ w: 6 }));
  const { entries, owners } = await startTwo();
  await submit(owners[0], "w-1", 30);
  await waitFor(() => countRunning("w") === 6);
  const gang = submission("w-gang", createStep({ taskCount: 5, isGang: true, estimateMilliseconds: 10 }));
  const terms = { ...gang.terms, pool: other, objectiveMilliseconds: 120_000 };
  await owners[1].submit({ ...gang, terms, workspace: "w" });
  await Promise.all([waitForEnd(entries[0], pool, "w-1"), waitForEnd(entries[1], other, "w-gang")]);
  const members = runsOf("w").filter(({ task }) => task.startsWith("w-gang."));
  expect(members).toHaveLength(5);
  const starts = members.map(({ from }) => from);
  expect(Math.max(...starts) - Math.min(...starts)).toBeLessThan(100);
  expect(mostRunning("w")).toBe(6);
});

test("without a cap or without workspaces there are no quota records, metrics or log lines", async () => {
  for (const table of [() => tableOf({ w: 0 }), () => undefined]) {
    start(50, table);
    const { entries, owners } = await startTwo();
    await submit(owners[0], "w-1", 24);
    await waitForEnd(entries[0], pool, "w-1");
    expect(fixture.engine.range(quotaPrefix, "quotas0")).toEqual([]);
    expect(entries[0].lines.filter((line) => line.includes("quota"))).toEqual([]);
    expect(entries[0].metrics.expose()).not.toMatch(/quota|workspaces/);
    fixture.close();
  }
});
