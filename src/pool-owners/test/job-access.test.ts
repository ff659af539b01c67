/**
 * Access to jobs by workspace: a workspace must not learn of the jobs of another one, neither from the owner, nor over the
 * links between entries, nor through the stored record. Without workspaces, records and messages have no further fields.
 * @packageDocumentation
 */
import { afterEach, expect, test } from "vitest";
import { createLog, readJobTimeline } from "../../telemetry/index.js";
import type { PoolOwner } from "../pool-owner.js";
import type { JobSubmission } from "../job-outcomes.js";
import { answerRepeatedSubmission, backlogReason, mayAccess, type JobCaller } from "../job-access.js";
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

function createSubmission(workspace: string | undefined, jobId = "job"): JobSubmission {
  const step = createStep({ isLasting: true });
  return { ...submission(jobId, step), ...(workspace === undefined ? {} : { workspace }) };
}

function createRecord(workspace: string | undefined) {
  const { jobId, definition } = createSubmission(workspace);
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

function readStoredJob({ engine }: OwnerFixture, jobId = "job"): unknown {
  const [found] = engine.range(`jobs/${jobId}`);
  return found === undefined ? undefined : JSON.parse(found.value);
}

/** An owner without the job: its pool is the one to which the job's queue was moved later. */
const ownerWithoutJob = {
  readState: () => ({ kind: "not-known" }),
  cancel: async () => Promise.resolve({ kind: "not-known" }),
} as unknown as PoolOwner;

test("a workspace's job is accessible to that workspace only, and through its own queue if that requires no key", () => {
  const record = createRecord("north");
  expect(mayAccess(record, north)).toBe(true);
  expect(mayAccess(record, { queue: "elsewhere", workspace: "north" })).toBe(true);
  expect(mayAccess(record, { queue })).toBe(true);
  for (const caller of others) expect(mayAccess(record, caller)).toBe(false);
  expect(mayAccess(record, undefined)).toBe(true);
  for (const caller of [north, ...others]) expect(mayAccess(createRecord(undefined), caller)).toBe(true);
});

test("a submission with an identifier in use is accepted from the same caller, and refused as by a full pool from others", () => {
  const log = createLog("silent");
  const kind = (stored: string | undefined, workspace: string | undefined, other = queue): string => {
    const again = { ...createSubmission(workspace), terms: { ...terms, queue: other } };
    return answerRepeatedSubmission(createRecord(stored), again, log).kind;
  };
  expect([kind("north", "north"), kind("north", "north", "elsewhere"), kind(undefined, undefined)]).toEqual([
    "accepted",
    "accepted",
    "accepted",
  ]);
  expect([kind("north", "south"), kind("north", undefined, "elsewhere")]).toEqual(["refused", "refused"]);
  expect(kind(undefined, "north", "elsewhere")).toBe("refused");
  // The queue's key requirement changed between the two calls.
  expect([kind("north", undefined), kind(undefined, "north")]).toEqual(["accepted", "accepted"]);
});

test("the record of a job contains its workspace, and without workspaces has no additional field", async () => {
  const { started, entry, owner } = await startOwner();
  await owner.submit(createSubmission("north"));
  await owner.submit(createSubmission(undefined, "plain"));
  expect(readStoredJob(started)).toMatchObject({ workspace: "north" });
  const plain = readStoredJob(started, "plain") as object;
  expect(Object.keys(plain)).toEqual(["jobId", "terms", "definition", "acceptedAt", "requestedAt"]);
  const timeline = readJobTimeline(new Map([["a.log", entry.lines.join("\n")]]), "job");
  expect(timeline.find(({ event }) => event === "job-accepted")?.fields.workspace).toBe("north");
  expect(entry.lines.filter((line) => line.includes("plain") && line.includes("workspace="))).toEqual([]);
});

test("another workspace can neither resubmit, read nor cancel a job, also after a takeover", async () => {
  const { started, entry, owner } = await startOwner();
  expect(await owner.submit(createSubmission("north"))).toEqual({ kind: "accepted" });
  const refusal = { kind: "refused", reason: backlogReason, retryAfterMilliseconds: 1_000 };
  const check = async (checkedOwner: PoolOwner): Promise<void> => {
    expect(await checkedOwner.submit(createSubmission("north"))).toEqual({ kind: "accepted" });
    expect(await checkedOwner.submit(createSubmission("south"))).toEqual(refusal);
    for (const caller of others) {
      expect(checkedOwner.readState("job", caller)).toEqual({ kind: "not-known" });
      expect(await checkedOwner.cancel("job", caller)).toEqual({ kind: "not-known" });
    }
    expect(checkedOwner.readState("job", north)).toMatchObject({ kind: "state" });
  };
  await check(owner);
  expect(entry.lines.filter((line) => line.includes("job-identifier-taken"))).toHaveLength(1);
  entry.crash();
  const next = await started.owner(started.startEntry("b"));
  await check(next);
  expect(await next.cancel("job", north)).toEqual({ kind: "cancelled" });
});

test("concurrent submissions of one identifier by two workspaces create one job of one workspace", async () => {
  const { started, owner } = await startOwner();
  const outcomes = await Promise.all(
    ["north", "south", "south", "north", undefined].map(async (workspace) =>
      owner.submit({
        ...createSubmission(workspace),
        terms: workspace === undefined ? { ...terms, queue: "elsewhere" } : terms,
      }),
    ),
  );
  expect(outcomes.map(({ kind }) => kind)).toEqual(["accepted", "refused", "refused", "accepted", "refused"]);
  await waitFor(() => started.fleet.world.history.length >= 2);
  expect(readStoredJob(started)).toMatchObject({ workspace: "north" });
});

test("a submission with the identifier of a stored job of another workspace is refused if the owner has not loaded the job", async () => {
  const { started, owner } = await startOwner();
  const value = JSON.stringify({ ...createRecord("north"), terms: { ...terms, pool: "elsewhere" } });
  started.engine.write({ key: "jobs/job", value, expectedRevision: 0, leaseId: undefined });
  expect((await owner.submit(createSubmission("south"))).kind).toBe("refused");
  expect((await owner.submit(createSubmission("north"))).kind).toBe("accepted");
});

test("another workspace's job is not found locally, over the links, or through the stored record", async () => {
  const { started, owner } = await startOwner();
  const owners = new Map([
    [pool, owner],
    ["moved", ownerWithoutJob],
  ]);
  const { requests, remote, local } = connectGateways(started, owners);
  expect(await remote.submit(createSubmission("north"))).toEqual({ kind: "accepted" });
  for (const gateway of [local, remote])
    for (const name of [pool, "moved"]) {
      for (const caller of others) {
        expect(await gateway.readState(name, "job", 2_000, caller)).toEqual({ kind: "not-known" });
        expect(await gateway.cancel(name, "job", 2_000, caller)).toEqual({ kind: "not-known" });
      }
      expect((await gateway.readState(name, "job", 2_000, north)).kind).toBe("found");
    }
  expect(requests).toContainEqual({ pool, jobId: "job", caller: north });
  expect(await remote.cancel("moved", "job", 2_000, north)).toEqual({ kind: "found", value: "cancelled" });
});

test("the answer for a job whose owner does not respond does not reveal the job to another workspace", async () => {
  const { started, owner } = await startOwner();
  await owner.submit(createSubmission("north"));
  const { local } = connectGateways(started, new Map([["moved", ownerWithoutJob]]));
  expect((await local.readState("moved", "job", 400, north)).kind).toBe("unavailable");
  expect((await local.readState("moved", "job", 400, south)).kind).toBe("not-known");
  expect((await local.cancel("moved", "job", 400, south)).kind).toBe("not-known");
});

test("messages without workspaces have no additional fields", async () => {
  const { started, owner } = await startOwner();
  const { requests, remote } = connectGateways(started, new Map([[pool, owner]]));
  const plain = createSubmission(undefined);
  await remote.submit(plain);
  await remote.readState(pool, "job", 2_000);
  await remote.cancel(pool, "job", 2_000);
  const fields = requests.map((body) => Object.keys(body as object));
  const jobFields = ["pool", "jobId"];
  expect(fields).toEqual([["jobId", "terms", "definition", "deadlineMilliseconds"], jobFields, jobFields]);
});
