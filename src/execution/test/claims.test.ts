/**
 * Answers to requests that repeat an idempotency key, with one fault at a time.
 * @packageDocumentation
 */
import { expect, test } from "vitest";
import type { ClaimAnswer } from "../index.js";
import { createCluster, type ClaimCluster } from "./claim-cluster.js";

const neverAborted = new AbortController().signal;

async function takeClaim(
  cluster: ClaimCluster,
  index: number,
  claimId: string,
  { key = "key", fingerprint = "same" } = {},
): Promise<ClaimAnswer["kind"]> {
  const entry = cluster.entries[index];
  if (entry === undefined) return "unavailable";
  const { entryId, claims } = entry;
  const deadlineAt = Date.now() + 5_000;
  return (await claims.take({ key, claimId, fingerprint, entryId, deadlineAt }, neverAborted)).kind;
}

async function finish(cluster: ClaimCluster, index: number, claimId: string, bytes = 10): Promise<void> {
  const answer = { status: 200, headers: {}, body: Buffer.alloc(bytes) };
  await cluster.entries[index]?.claims.settle({ key: "key", claimId, state: "finished", answer });
}

test("a repeated key is reported as running, then gets the first answer, through any entry", async () => {
  const cluster = createCluster(3);
  expect(await takeClaim(cluster, 0, "first")).toBe("granted");
  expect(await takeClaim(cluster, 1, "second")).toBe("already-running");
  await finish(cluster, 0, "first");
  expect(await takeClaim(cluster, 2, "third")).toBe("finished");
  expect(await takeClaim(cluster, 2, "fourth", { fingerprint: "other" })).toBe("key-reused");
});

test("a request whose answer is too large for the cache is reported as already run", async () => {
  const cluster = createCluster(3, 0, 100);
  expect(await takeClaim(cluster, 0, "first")).toBe("granted");
  await finish(cluster, 0, "first", 101);
  expect(await takeClaim(cluster, 1, "second")).toBe("already-run");
});

test("after all entries are replaced, an unsettled claim is unknown and never granted", async () => {
  const cluster = createCluster(3);
  expect(await takeClaim(cluster, 0, "first")).toBe("granted");
  for (const index of [0, 1, 2]) cluster.replace(index);
  expect(await takeClaim(cluster, 1, "second")).toBe("unknown");
  expect(await takeClaim(cluster, 1, "third", { key: "another" })).toBe("granted");
});

test("the end of a claim is written with the next commit and survives the owner's restart", async () => {
  const cluster = createCluster(1);
  expect(await takeClaim(cluster, 0, "first")).toBe("granted");
  await cluster.entries[0]?.claims.settle({ key: "key", claimId: "first", state: "released" });
  expect(await takeClaim(cluster, 0, "other", { key: "another" })).toBe("granted");
  cluster.replace(0);
  expect(await takeClaim(cluster, 0, "second")).toBe("granted");
});

test("a flush before a planned stop writes the ends of claims to the log", async () => {
  const cluster = createCluster(1);
  expect(await takeClaim(cluster, 0, "first")).toBe("granted");
  await finish(cluster, 0, "first");
  await cluster.entries[0]?.claims.flush();
  cluster.replace(0);
  expect(await takeClaim(cluster, 0, "second")).toBe("already-run");
});

test("while the store is down, no claim is granted and cached answers are still returned", async () => {
  const cluster = createCluster(2);
  expect(await takeClaim(cluster, 0, "first")).toBe("granted");
  await finish(cluster, 0, "first");
  for (const { faults } of cluster.entries) faults.mode = "down";
  expect(await takeClaim(cluster, 1, "second", { key: "another" })).toBe("unavailable");
  expect(await takeClaim(cluster, 1, "third")).toBe("finished");
  for (const { faults } of cluster.entries) faults.mode = "up";
  expect(await takeClaim(cluster, 1, "fourth", { key: "another" })).toBe("granted");
});

test("a write whose answer is lost is confirmed by reading it back, also when the store is slow", async () => {
  const cluster = createCluster(2);
  for (const { faults } of cluster.entries) {
    faults.loseAnswers = 1;
    faults.delayMilliseconds = 5;
  }
  expect(await takeClaim(cluster, 0, "first")).toBe("granted");
  expect(await takeClaim(cluster, 1, "second")).toBe("already-running");
});

test("a write that takes effect after its timeout is found before any other claim is granted", async () => {
  const cluster = createCluster(1);
  const [entry] = cluster.entries;
  if (entry === undefined) return;
  expect(await takeClaim(cluster, 0, "warm", { key: "warm" })).toBe("granted");
  entry.store.lateWrites = 1;
  expect(await takeClaim(cluster, 0, "first")).toBe("granted");
  expect(await takeClaim(cluster, 0, "second")).toBe("already-running");
});

test("of two entries that cannot reach each other, only one grants a key", async () => {
  const cluster = createCluster(2);
  const [left, right] = cluster.entries;
  if (left === undefined || right === undefined) return;
  for (const index of [0, 1]) await takeClaim(cluster, index, `warm-${index}`, { key: `warm-${index}` });
  left.unreachablePeers.add(right.entryId);
  right.unreachablePeers.add(left.entryId);
  const kinds = await Promise.all([takeClaim(cluster, 0, "left"), takeClaim(cluster, 1, "right")]);
  expect(kinds.filter((kind) => kind === "granted")).toHaveLength(1);
});

test("concurrent claims are written in one group commit", async () => {
  const cluster = createCluster(1, 20);
  await takeClaim(cluster, 0, "warm", { key: "warm" });
  const before = cluster.engine.counts.writes;
  const claimIds = Array.from({ length: 200 }, (_, index) => `claim-${index}`);
  const kinds = await Promise.all(claimIds.map(async (id) => takeClaim(cluster, 0, id, { key: id })));
  expect(new Set(kinds)).toEqual(new Set(["granted"]));
  expect(cluster.engine.counts.writes - before).toBeLessThanOrEqual(2);
});
