/**
 * Whose job it is: what a workspace learns of the jobs of another, here, over the links between entries and on the path
 * through the store; and that nothing of this happens where callers are not told apart.
 * @packageDocumentation
 */
import { afterEach, expect, test } from "vitest";
import { createLog, readJobTimeline } from "../../telemetry/index.js";
import type { PoolOwner } from "../pool-owner.js";
import type { JobSubmission } from "../job-outcomes.js";
import { answerAgain, backlogReason, mayReach, type JobCaller } from "../job-access.js";
import { connectGateways } from "./gateway-fixture.js";
import {
  createStep,
  pool,
  startOwnerFixture,
  submission,
  terms,
  waitFor,
  type OwnerFixture,
  type TestEntry,
} from "./owner-fixture.js";

let fixture: OwnerFixture | undefined;
afterEach(() => {
  fixture?.close();
  fixture = undefined;
});

const { queue } = terms;
const north: JobCaller = { queue, workspace: "north" };
const south: JobCaller = { queue, workspace: "south" };
const others: JobCaller[] = [south, { queue: "elsewhere" }, { queue: "elsewhere", workspace: "south" }];

function submissionOf(workspace: string | undefined, jobId = "job"): JobSubmission {
  const step = createStep({ isLasting: true });
  return { ...submission(jobId, step), ...(workspace === undefined ? {} : { workspace }) };
}

function recordOf(workspace: string | undefined) {
  const { jobId, definition } = submissionOf(workspace);
  const workspaceField = workspace === undefined ? {} : { workspace };
  return { jobId, terms, definition, acceptedAt: 1, requestedAt: 1, ...workspaceField };
}

async function startOwner(): Promise<{ started: OwnerFixture; entry: TestEntry; owner: PoolOwner }> {
  const needs = { cpuMillicores: 1_000, memoryMegabytes: 100, accelerators: 0 };
  const behaviour = () => ({ needs, runMilliseconds: 50, isLasting: true, fails: false });
  fixture = startOwnerFixture({ targetCount: 2, coresPerTarget: 8, behaviour });
  const entry = fixture.startEntry("a");
  return { started: fixture, entry, owner: await fixture.owner(entry) };
}

function storedJob({ engine }: OwnerFixture, jobId = "job"): unknown {
  const [found] = engine.range(`jobs/${jobId}`);
  return found === undefined ? undefined : JSON.parse(found.value);
}

/** The owner of a pool that the job's queue was moved to. */
const emptyOwner = {
  readState: () => ({ kind: "not-known" }),
  cancel: async () => Promise.resolve({ kind: "not-known" }),
} as unknown as PoolOwner;

test("a workspace's job answers to it alone, and through its own queue once that needs no key", () => {
  const record = recordOf("north");
  expect(mayReach(record, north)).toBe(true);
  expect(mayReach(record, { queue: "elsewhere", workspace: "north" })).toBe(true);
  expect(mayReach(record, { queue })).toBe(true);
  for (const caller of others) expect(mayReach(record, caller)).toBe(false);
  expect(mayReach(record, undefined)).toBe(true);
  for (const caller of [north, ...others]) expect(mayReach(recordOf(undefined), caller)).toBe(true);
});

test("an identifier that is in use is answered as its job to the same caller, and to others as a full pool", () => {
  const log = createLog("silent");
  const kind = (stored: string | undefined, workspace: string | undefined, other = queue): string => {
    const again = { ...submissionOf(workspace), terms: { ...terms, queue: other } };
    return answerAgain(recordOf(stored), again, log).kind;
  };
  expect([kind("north", "north"), kind("north", "north", "elsewhere"), kind(undefined, undefined)]).toEqual([
    "accepted",
    "accepted",
    "accepted",
  ]);
  expect([kind("north", "south"), kind("north", undefined, "elsewhere")]).toEqual(["refused", "refused"]);
  expect(kind(undefined, "north", "elsewhere")).toBe("refused");
  // The queue's need for a key came or went between the two calls.
  expect([kind("north", undefined), kind(undefined, "north")]).toEqual(["accepted", "accepted"]);
});

test("the record of a job names its workspace, and without workspaces has the fields that it always had", async () => {
  const { started, entry, owner } = await startOwner();
  await owner.submit(submissionOf("north"));
  await owner.submit(submissionOf(undefined, "plain"));
  expect(storedJob(started)).toMatchObject({ workspace: "north" });
  const plain = storedJob(started, "plain") as object;
  expect(Object.keys(plain)).toEqual(["jobId", "terms", "definition", "acceptedAt", "requestedAt"]);
  const story = readJobTimeline(new Map([["a.log", entry.lines.join("\n")]]), "job");
  expect(story.find(({ event }) => event === "job-accepted")?.fields.workspace).toBe("north");
  expect(entry.lines.filter((line) => line.includes("plain") && line.includes("workspace="))).toEqual([]);
});

test("another workspace's submission, read and cancellation do not reach a job, also after a takeover", async () => {
  const { started, entry, owner } = await startOwner();
  expect(await owner.submit(submissionOf("north"))).toEqual({ kind: "accepted" });
  const refusal = { kind: "refused", reason: backlogReason, retryAfterMilliseconds: 1_000 };
  const check = async (asked: PoolOwner): Promise<void> => {
    expect(await asked.submit(submissionOf("north"))).toEqual({ kind: "accepted" });
    expect(await asked.submit(submissionOf("south"))).toEqual(refusal);
    for (const caller of others) {
      expect(asked.readState("job", caller)).toEqual({ kind: "not-known" });
      expect(await asked.cancel("job", caller)).toEqual({ kind: "not-known" });
    }
    expect(asked.readState("job", north)).toMatchObject({ kind: "state" });
  };
  await check(owner);
  expect(entry.lines.filter((line) => line.includes("job-identifier-taken"))).toHaveLength(1);
  entry.crash();
  const next = await started.owner(started.startEntry("b"));
  await check(next);
  expect(await next.cancel("job", north)).toEqual({ kind: "cancelled" });
});

test("one identifier handed in by two workspaces at once is one job of one of them", async () => {
  const { started, owner } = await startOwner();
  const outcomes = await Promise.all(
    ["north", "south", "south", "north", undefined].map(async (workspace) =>
      owner.submit({
        ...submissionOf(workspace),
        terms: workspace === undefined ? { ...terms, queue: "elsewhere" } : terms,
      }),
    ),
  );
  expect(outcomes.map(({ kind }) => kind)).toEqual(["accepted", "refused", "refused", "accepted", "refused"]);
  await waitFor(() => started.fleet.world.history.length >= 2);
  expect(storedJob(started)).toMatchObject({ workspace: "north" });
});

test("a stored job that the owner does not know is not accepted for another workspace", async () => {
  const { started, owner } = await startOwner();
  const value = JSON.stringify({ ...recordOf("north"), terms: { ...terms, pool: "elsewhere" } });
  started.engine.write({ key: "jobs/job", value, expectedRevision: 0, leaseId: undefined });
  expect((await owner.submit(submissionOf("south"))).kind).toBe("refused");
  expect((await owner.submit(submissionOf("north"))).kind).toBe("accepted");
});

test("another workspace's job is not known here, over the links, and on the path through the store", async () => {
  const { started, owner } = await startOwner();
  const owners = new Map([
    [pool, owner],
    ["moved", emptyOwner],
  ]);
  const { asked, remote, local } = connectGateways(started, owners);
  expect(await remote.submit(submissionOf("north"))).toEqual({ kind: "accepted" });
  for (const gateway of [local, remote])
    for (const name of [pool, "moved"]) {
      for (const caller of others) {
        expect(await gateway.readState(name, "job", 2_000, caller)).toEqual({ kind: "not-known" });
        expect(await gateway.cancel(name, "job", 2_000, caller)).toEqual({ kind: "not-known" });
      }
      expect((await gateway.readState(name, "job", 2_000, north)).kind).toBe("found");
    }
  expect(asked).toContainEqual({ pool, jobId: "job", caller: north });
  expect(await remote.cancel("moved", "job", 2_000, north)).toEqual({ kind: "found", value: "cancelled" });
});

test("a job whose owner does not answer is not told to another workspace by the failure", async () => {
  const { started, owner } = await startOwner();
  await owner.submit(submissionOf("north"));
  const { local } = connectGateways(started, new Map([["moved", emptyOwner]]));
  expect((await local.readState("moved", "job", 400, north)).kind).toBe("unavailable");
  expect((await local.readState("moved", "job", 400, south)).kind).toBe("not-known");
  expect((await local.cancel("moved", "job", 400, south)).kind).toBe("not-known");
});

test("messages without workspaces have the fields that they always had", async () => {
  const { started, owner } = await startOwner();
  const { asked, remote } = connectGateways(started, new Map([[pool, owner]]));
  const plain = submissionOf(undefined);
  await remote.submit(plain);
  await remote.readState(pool, "job", 2_000);
  await remote.cancel(pool, "job", 2_000);
  const fields = asked.map((body) => Object.keys(body as object));
  const jobFields = ["pool", "jobId"];
  expect(fields).toEqual([["jobId", "terms", "definition", "deadlineMilliseconds"], jobFields, jobFields]);
});
