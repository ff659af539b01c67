/**
 * A maintenance wave over a whole pool under load, also when the entry that runs it is killed.
 * @packageDocumentation
 */
import { readFile } from "node:fs/promises";
import { afterEach, expect, test } from "vitest";
import { delay } from "../shared/index.js";
import type { CommandAnswer } from "../operations/index.js";
import { startFleet, waitUntil, type Fleet } from "../stand-ins/index.js";
import { findBreaches, sendSession } from "./session.js";

const seed = 5;
const requestCount = 600;
const meanGapMilliseconds = 12;
const waveMilliseconds = 45_000;
const pollMilliseconds = 100;
let fleet: Fleet | undefined;

afterEach(async () => {
  await fleet?.close();
  fleet = undefined;
});

async function start(): Promise<Fleet> {
  const configuration = JSON.parse(
    await readFile(new URL("../../examples/agency/text.json", import.meta.url), "utf8"),
  ) as { pools: { minimumInstances: number }[] };
  for (const pool of configuration.pools) pool.minimumInstances = 1;
  fleet = await startFleet({
    text: configuration,
    targets: { quotes: 4, spare: 1 },
    entries: 3,
    zones: 2,
    meanRunMilliseconds: 20,
    seed,
  });
  return fleet;
}

async function post(running: Fleet, entry: number, path: string, body: unknown): Promise<CommandAnswer> {
  const address = running.entries[entry]?.addresses.operators ?? "";
  const response = await fetch(`http://${address}/operator/wave/${path}`, {
    method: "POST",
    body: JSON.stringify(body),
  });
  return (await response.json()) as CommandAnswer;
}

async function runWave(running: Fleet, entry: number): Promise<string> {
  const limits = { firstBatchSize: 1, batchSize: 2, watchSeconds: 1, poolShare: 0.5, minimumBudgetShare: 0 };
  const started = await post(running, entry, "start", {
    waveId: "w-1",
    pools: ["quotes"],
    zones: [],
    limits,
  });
  expect(started.result).toBe("done");
  const deadlineAt = Date.now() + waveMilliseconds;
  while (Date.now() < deadlineAt) {
    const { details } = await post(running, entry, "show", {});
    const state = (details as { state?: string } | undefined)?.state;
    if (state !== undefined && state !== "running") return state;
    await delay(pollMilliseconds);
  }
  return "running";
}

const cases: readonly (readonly [string, boolean])[] = [
  ["nothing fails", false],
  ["an entry is killed", true],
];

test.each(cases)(
  "a wave reboots each instance once and cuts no run when %s",
  { timeout: 90_000 },
  async (_name, kills) => {
    const running = await start();
    const requests = Array.from({ length: requestCount }, (_, index) => ({
      service: "quotes",
      operation: "quote",
      body: `quote ${index}`,
    }));
    const sending = sendSession(running.balancer.address, { requests, meanGapMilliseconds, seed });
    const wave = runWave(running, 1);
    await waitUntil(() => running.targets.some((target) => target.counts().reboots > 0), waveMilliseconds);
    if (kills) await running.entries[0]?.kill();
    expect(await wave).toBe("finished");
    const received = await sending;
    const counts = running.targets.map((target) => target.counts());
    expect(counts.map(({ reboots }) => reboots)).toEqual([1, 1, 1, 1, 0]);
    expect(counts.map(({ cutByReboots }) => cutByReboots)).toEqual([0, 0, 0, 0, 0]);
    const breaches = findBreaches(running, received, () => true);
    expect({ ...breaches, lost: 0 }).toEqual({
      foreignAnswers: 0,
      untrueRefusals: 0,
      repeatedRuns: 0,
      lost: 0,
    });
    if (!kills) expect(breaches.lost).toBe(0);
  },
);
