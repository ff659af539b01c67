/**
 * Frozen and killed processes: a target and an entry that are stopped by SIGSTOP and go on later.
 * @packageDocumentation
 */
import { createHash } from "node:crypto";
import { readFile } from "node:fs/promises";
import { afterEach, expect, test } from "vitest";
import type { EntryStatus } from "../operations/index.js";
import type { TargetCounts } from "../stand-ins/index.js";
import { getJson, postJson, startSession, waitFor, type Session } from "./processes.js";

let session: Session | undefined;

afterEach(async () => {
  await session?.end();
  session = undefined;
});

interface Reply {
  readonly outcome: string;
  readonly own: boolean;
  readonly requestId: string;
}

async function startWithConfiguration(entryCount: number, targetCount: number): Promise<Session> {
  session = await startSession(entryCount, targetCount);
  const running = session;
  const configuration: unknown = JSON.parse(
    await readFile(new URL("../../examples/agency/text.json", import.meta.url), "utf8"),
  );
  const change = { changeId: "first", author: "test", baseRevision: 0, text: configuration };
  await waitFor(
    async () => (await postJson(operatorUrl(running, 0, "configuration"), change)).status === 200,
  );
  for (let index = 0; index < entryCount; index += 1) {
    await waitFor(async () => (await statusOf(running, index)).instances.length === targetCount);
    await waitFor(async () => (await statusOf(running, index)).ready);
  }
  await waitFor(async () => (await send(running, "warm-up", 2_000)).outcome === "answered");
  return running;
}

function operatorUrl(running: Session, index: number, path: string): string {
  return `http://${running.entries[index]?.started.operators ?? ""}/operator/${path}`;
}

async function statusOf(running: Session, index: number): Promise<EntryStatus> {
  return (await getJson(operatorUrl(running, index, "status"))) as EntryStatus;
}

async function send(running: Session, body: string, timeoutMilliseconds: number): Promise<Reply> {
  const response = await fetch(`${running.balancer.started.address ?? ""}/services/quotes/quote`, {
    method: "POST",
    headers: { "x-timeout-ms": String(timeoutMilliseconds) },
    body,
  });
  const answer = (await response.json()) as { requestId?: string; digest?: string };
  const requestId = response.headers.get("x-request-id") ?? "";
  const digest = createHash("sha256").update(body).digest("hex");
  return {
    outcome: response.headers.get("x-outcome") ?? "none",
    own: answer.digest === digest && answer.requestId === requestId,
    requestId,
  };
}

async function sendMany(running: Session, name: string, count: number): Promise<Reply[]> {
  return Promise.all(
    Array.from({ length: count }, async (_, index) => send(running, `${name} ${index}`, 1_500)),
  );
}

async function countsOf(running: Session, index: number): Promise<TargetCounts> {
  return (await getJson(`http://${running.targets[index]?.started.address ?? ""}/counts`)) as TargetCounts;
}

test("a target that is frozen and goes on gives nobody a foreign answer", { timeout: 60_000 }, async () => {
  const running = await startWithConfiguration(2, 4);
  running.targets[0]?.child.kill("SIGSTOP");
  const during = await sendMany(running, "during", 12);
  running.targets[0]?.child.kill("SIGCONT");
  const after = await sendMany(running, "after", 12);
  const replies = [...during, ...after];
  expect(replies.filter(({ outcome, own }) => outcome === "answered" && !own)).toEqual([]);
  const runs = Object.keys((await countsOf(running, 0)).runs);
  const refused = replies.filter(({ outcome }) => outcome === "refused").map(({ requestId }) => requestId);
  expect(refused.filter((requestId) => runs.includes(requestId))).toEqual([]);
  expect(after.filter(({ outcome }) => outcome === "answered").length).toBeGreaterThan(0);
});

test("a move waits for a frozen entry, which later agrees with the others", { timeout: 90_000 }, async () => {
  const running = await startWithConfiguration(3, 4);
  const frozen = running.entries[0];
  frozen?.child.kill("SIGSTOP");
  const move = { instanceId: "target-1", pool: "spare", changeId: "m" };
  expect((await postJson(operatorUrl(running, 1, "move"), move)).status).toBe(200);
  const placed = async (index: number): Promise<EntryStatus["instances"][number] | undefined> =>
    (await statusOf(running, index)).instances.find(({ instanceId }) => instanceId === "target-1");
  await waitFor(async () => (await placed(2))?.state === "leaving");
  await new Promise((resolve) => setTimeout(resolve, 2_000));
  expect(await placed(1)).toMatchObject({ pool: "quotes", state: "leaving" });
  frozen?.child.kill("SIGCONT");
  for (const index of [0, 1, 2]) {
    await waitFor(
      async () => (await placed(index))?.pool === "spare" && (await placed(index))?.state === "serving",
    );
  }
  const { started } = await countsOf(running, 0);
  const replies = await sendMany(running, "after", 30);
  expect(replies.every(({ outcome, own }) => outcome === "answered" && own)).toBe(true);
  expect((await countsOf(running, 0)).started).toBe(started);
});

test("a killed entry holds up no move: its address refuses connections", { timeout: 60_000 }, async () => {
  const running = await startWithConfiguration(3, 4);
  await running.entries[0]?.end("SIGKILL");
  const move = { instanceId: "target-1", pool: "spare", changeId: "m" };
  expect((await postJson(operatorUrl(running, 1, "move"), move)).status).toBe(200);
  await waitFor(async () =>
    (await statusOf(running, 2)).instances.some(
      ({ instanceId, pool, state }) => instanceId === "target-1" && pool === "spare" && state === "serving",
    ),
  );
  const replies = await sendMany(running, "after", 16);
  expect(replies.every(({ outcome, own }) => outcome === "answered" && own)).toBe(true);
});
