/**
 * What repeated keys are told, one fault at a time.
 * @packageDocumentation
 */
import { expect, test } from "vitest";
import type { ClaimAnswer } from "../index.js";
import { createCluster, type ClaimCluster } from "./claim-cluster.js";

const never = new AbortController().signal;

async function ask(
  cluster: ClaimCluster,
  index: number,
  claimId: string,
  { key = "key", fingerprint = "same" } = {},
): Promise<ClaimAnswer["kind"]> {
  const entry = cluster.entries[index];
  if (entry === undefined) return "unavailable";
  const { entryId, claims } = entry;
  const deadlineAt = Date.now() + 5_000;
  return (await claims.take({ key, claimId, fingerprint, entryId, deadlineAt }, never)).kind;
}

async function finish(cluster: ClaimCluster, index: number, claimId: string, bytes = 10): Promise<void> {
  const answer = { status: 200, headers: {}, body: Buffer.alloc(bytes) };
  await cluster.entries[index]?.claims.settle({ key: "key", claimId, state: "finished", answer });
}

test("a repeated key gets running, then the first answer, through any entry", async () => {
  const cluster = createCluster(3);
  expect(await ask(cluster, 0, "first")).toBe("granted");
  expect(await ask(cluster, 1, "second")).toBe("already-running");
  await finish(cluster, 0, "first");
  expect(await ask(cluster, 2, "third")).toBe("finished");
  expect(await ask(cluster, 2, "fourth", { fingerprint: "other" })).toBe("key-reused");
});

test("an answer that is too large to hold is said to have run", async () => {
  const cluster = createCluster(3, 0, 100);
  expect(await ask(cluster, 0, "first")).toBe("granted");
  await finish(cluster, 0, "first", 101);
  expect(await ask(cluster, 1, "second")).toBe("already-run");
});

test("after all entries were replaced, an open claim is unknown and never granted", async () => {
  const cluster = createCluster(3);
  expect(await ask(cluster, 0, "first")).toBe("granted");
  for (const index of [0, 1, 2]) cluster.replace(index);
  expect(await ask(cluster, 1, "second")).toBe("unknown");
  expect(await ask(cluster, 1, "third", { key: "another" })).toBe("granted");
});

test("the end of a claim is in the log with the next commit and outlives its owner", async () => {
  const cluster = createCluster(1);
  expect(await ask(cluster, 0, "first")).toBe("granted");
  await cluster.entries[0]?.claims.settle({ key: "key", claimId: "first", state: "released" });
  expect(await ask(cluster, 0, "other", { key: "another" })).toBe("granted");
  cluster.replace(0);
  expect(await ask(cluster, 0, "second")).toBe("granted");
});

test("a planned stop leaves the ends of claims in the log", async () => {
  const cluster = createCluster(1);
  expect(await ask(cluster, 0, "first")).toBe("granted");
  await finish(cluster, 0, "first");
  await cluster.entries[0]?.claims.flush();
  cluster.replace(0);
  expect(await ask(cluster, 0, "second")).toBe("already-run");
});

test("while the store is down nothing is granted, and what is known is still said", async () => {
  const cluster = createCluster(2);
  expect(await ask(cluster, 0, "first")).toBe("granted");
  await finish(cluster, 0, "first");
  for (const { faults } of cluster.entries) faults.mode = "down";
  expect(await ask(cluster, 1, "second", { key: "another" })).toBe("unavailable");
  expect(await ask(cluster, 1, "third")).toBe("finished");
  for (const { faults } of cluster.entries) faults.mode = "up";
  expect(await ask(cluster, 1, "fourth", { key: "another" })).toBe("granted");
});

test("lost answers of the store are settled by reading back, also when it is slow", async () => {
  const cluster = createCluster(2);
  for (const { faults } of cluster.entries) {
    faults.loseAnswers = 1;
    faults.delayMilliseconds = 5;
  }
  expect(await ask(cluster, 0, "first")).toBe("granted");
  expect(await ask(cluster, 1, "second")).toBe("already-running");
});

test("a write that takes effect after it was given up is found before anything else is granted", async () => {
  const cluster = createCluster(1);
  const [entry] = cluster.entries;
  if (entry === undefined) return;
  expect(await ask(cluster, 0, "warm", { key: "warm" })).toBe("granted");
  entry.store.lateWrites = 1;
  expect(await ask(cluster, 0, "first")).toBe("granted");
  expect(await ask(cluster, 0, "second")).toBe("already-running");
});

test("a former owner that was cut off cannot grant what the new owner granted", async () => {
  const cluster = createCluster(2);
  const [left, right] = cluster.entries;
  if (left === undefined || right === undefined) return;
  for (const index of [0, 1]) await ask(cluster, index, `warm-${index}`, { key: `warm-${index}` });
  left.hidden.add(right.entryId);
  right.hidden.add(left.entryId);
  const kinds = await Promise.all([ask(cluster, 0, "left"), ask(cluster, 1, "right")]);
  expect(kinds.filter((kind) => kind === "granted")).toHaveLength(1);
});

test("claims that arrive together share one write", async () => {
  const cluster = createCluster(1, 20);
  await ask(cluster, 0, "warm", { key: "warm" });
  const before = cluster.engine.counts.writes;
  const claimIds = Array.from({ length: 200 }, (_, index) => `claim-${index}`);
  const kinds = await Promise.all(claimIds.map(async (id) => ask(cluster, 0, id, { key: id })));
  expect(new Set(kinds)).toEqual(new Set(["granted"]));
  expect(cluster.engine.counts.writes - before).toBeLessThanOrEqual(2);
});
