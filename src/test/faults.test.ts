/**
 * What must hold for callers, under each fault and under two at once, on a whole fleet.
 * @packageDocumentation
 */
import { readFile } from "node:fs/promises";
import { afterEach, expect, test } from "vitest";
import { delay } from "../shared/index.js";
import { startFleet, waitUntil, type Fleet } from "../stand-ins/index.js";
import { findBreaches, sendSession, type ReceivedOutcome, type SessionRequest } from "./session.js";

const seed = 11;
const requestCount = 300;
const meanGapMilliseconds = 6;
const faultAfterMilliseconds = 400;
let fleet: Fleet | undefined;

afterEach(async () => {
  await fleet?.close();
  fleet = undefined;
});

function createRequests(): SessionRequest[] {
  return Array.from({ length: requestCount }, (_, index) =>
    index % 2 === 0
      ? { service: "quotes", operation: "quote", body: `quote ${index}` }
      : { service: "releases", operation: "release", body: `release ${index}` },
  );
}

async function start(): Promise<Fleet> {
  const configuration: unknown = JSON.parse(
    await readFile(new URL("../../examples/agency/text.json", import.meta.url), "utf8"),
  );
  fleet = await startFleet({
    text: configuration,
    targets: { quotes: 3, releases: 3, spare: 2 },
    entries: 3,
    zones: 3,
    meanRunMilliseconds: 30,
    seed,
  });
  return fleet;
}

async function runWithFault(
  inject: (fleet: Fleet) => Promise<void>,
): Promise<{ fleet: Fleet; received: ReceivedOutcome[] }> {
  const running = await start();
  const sending = sendSession(running.balancer.address, {
    requests: createRequests(),
    meanGapMilliseconds,
    seed,
  });
  await delay(faultAfterMilliseconds);
  await inject(running);
  return { fleet: running, received: await sending };
}

async function command(running: Fleet, path: string, body: unknown): Promise<number> {
  const address = running.entries[1]?.addresses.operators ?? "";
  const response = await fetch(`http://${address}/operator/${path}`, {
    method: "POST",
    body: JSON.stringify(body),
  });
  return response.status;
}

function targetIn(running: Fleet, pool: string): Fleet["targets"][number] {
  const instanceId = running.entries[0]?.placement.members(pool)[0]?.instanceId;
  const target = running.targets.find((each) => each.instanceId === instanceId);
  if (target === undefined) throw new Error(`no target in pool ${pool}`);
  return target;
}

function storeDown(running: Fleet): void {
  running.store.faults.mode = "down";
}

type Injection = (running: Fleet) => Promise<void> | void;

const unplanned: readonly (readonly [string, Injection])[] = [
  ["an entry is killed", async (running) => running.entries[0]?.kill()],
  ["a target is killed in the middle of answers", async (running) => targetIn(running, "releases").close()],
  ["a target cuts its answers", (running) => void (targetIn(running, "releases").faults.cutAnswers = 20)],
  [
    "a target drops its connections",
    (running) => void (targetIn(running, "releases").faults.dropAnswers = 20),
  ],
  [
    "a target gives crossed answers",
    (running) => void (targetIn(running, "quotes").faults.crossAnswers = 20),
  ],
  ["a target refuses everything", (running) => void (targetIn(running, "quotes").faults.refuseAll = true)],
  ["a target fails everything", (running) => void (targetIn(running, "quotes").faults.failAll = true)],
  ["the store is down", storeDown],
  ["the store is slow", (running) => void (running.store.faults.delayMilliseconds = 3_000)],
  [
    "an entry is killed while the store is down",
    async (running) => {
      storeDown(running);
      await running.entries[0]?.kill();
    },
  ],
  [
    "a target is killed while another one cuts its answers",
    async (running) => {
      targetIn(running, "quotes").faults.cutAnswers = 20;
      await targetIn(running, "releases").close();
    },
  ],
];

test.each(unplanned)("answers stay whole, own and true when %s", async (_name, inject) => {
  const { fleet: running, received } = await runWithFault(async (each) => inject(each));
  const breaches = findBreaches(running, received, ({ operation }) => operation === "quote");
  expect(received).toHaveLength(requestCount);
  expect({ ...breaches, lost: 0 }).toEqual({
    foreignAnswers: 0,
    untrueRefusals: 0,
    repeatedRuns: 0,
    lost: 0,
  });
  expect(received.filter(({ outcome }) => outcome === "answered").length).toBeGreaterThan(requestCount / 2);
});

const planned: readonly (readonly [string, (running: Fleet) => Promise<void>])[] = [
  [
    "an instance moves",
    async (running) => {
      const { instanceId } = targetIn(running, "quotes");
      expect(await command(running, "move", { instanceId, pool: "releases", changeId: "m" })).toBe(200);
      expect(
        await waitUntil(() =>
          running.entries.every(({ placement }) => placement.find(instanceId)?.pool === "releases"),
        ),
      ).toBe(true);
    },
  ],
  [
    "an instance is drained",
    async (running) => {
      const { instanceId } = targetIn(running, "quotes");
      expect(await command(running, "drain", { instanceId, changeId: "d" })).toBe(200);
      expect(
        await waitUntil(() =>
          running.entries.every(({ placement }) => placement.find(instanceId)?.state === "stopped"),
        ),
      ).toBe(true);
    },
  ],
  ["an entry is stopped", async (running) => running.entries[0]?.stop()],
  [
    "an instance moves and the store loses an answer",
    async (running) => {
      const { instanceId } = targetIn(running, "quotes");
      running.store.faults.loseAnswers = 1;
      expect(await command(running, "move", { instanceId, pool: "releases", changeId: "m" })).toBe(200);
      expect(
        await waitUntil(() =>
          running.entries.every(({ placement }) => placement.find(instanceId)?.pool === "releases"),
        ),
      ).toBe(true);
    },
  ],
];

test.each(planned)("no request is cut when %s", async (_name, inject) => {
  const { fleet: running, received } = await runWithFault(inject);
  const breaches = findBreaches(running, received, ({ operation }) => operation === "quote");
  expect(received).toHaveLength(requestCount);
  expect(breaches).toEqual({ foreignAnswers: 0, untrueRefusals: 0, repeatedRuns: 0, lost: 0 });
});

test("a drain ends only when the last request has ended", async () => {
  const { fleet: running } = await runWithFault(async (each) => {
    const target = targetIn(each, "quotes");
    target.faults.lateMilliseconds = 800;
    await delay(faultAfterMilliseconds);
    await command(each, "drain", { instanceId: target.instanceId, changeId: "d" });
    const isStopped = (): boolean => each.entries[1]?.placement.find(target.instanceId)?.state === "stopped";
    expect(await waitUntil(isStopped)).toBe(true);
    const { started, finished } = target.counts();
    expect({ started, running: started - finished }).toEqual({ started, running: 0 });
  });
  expect(running.targets.length).toBeGreaterThan(0);
});

test("a drain waits for entries whose watch has gone silent", async () => {
  const { fleet: running } = await runWithFault(async (each) => {
    each.store.faults.muteWatches = true;
    const { instanceId } = targetIn(each, "quotes");
    await command(each, "drain", { instanceId, changeId: "d" });
  });
  const instanceId = running.targets
    .map((each) => each.instanceId)
    .find((each) => running.entries[1]?.placement.find(each)?.state !== "serving");
  const stopped = (): boolean =>
    running.entries.every(({ placement }) => placement.find(instanceId ?? "")?.state === "stopped");
  expect(await waitUntil(stopped, 20_000)).toBe(true);
  const stoppedAt = running.entries[1]?.placement.find(instanceId ?? "")?.since ?? 0;
  const target = running.targets.find((each) => each.instanceId === instanceId);
  expect(target?.counts().lastStartedAt).toBeLessThanOrEqual(stoppedAt);
});
