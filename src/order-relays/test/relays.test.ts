/**
 * Orders through other entries over real connections: their distribution, and the outcomes of orders whose relay is
 * lost.
 * @packageDocumentation
 */
import { Right } from "purify-ts";
import { afterEach, expect, test, vi } from "vitest";
import { createPeerNetwork, type PeerNetwork, type MemberRecord } from "../../membership/index.js";
import { delay } from "../../shared/index.js";
import type { OrderOutcome, StartOrder, TargetOrders } from "../../task-runs/index.js";
import { createLog, createMetrics } from "../../telemetry/index.js";
import { createRelayDirectory, RelayedTargetOrders, startOrderRelay, type RelayCandidate } from "../index.js";

const log = createLog("silent");
const cleanUp: (() => Promise<void> | void)[] = [];

/** An entry that records orders instead of sending them to targets. */
interface TestEntry {
  readonly entryId: string;
  readonly network: PeerNetwork;
  /** Names of the tasks whose start orders this entry would have sent to targets. */
  readonly sent: string[];
  readonly orders: RelayedTargetOrders;
  /** The targets' answer to start orders. */
  answer: () => Promise<OrderOutcome>;
}

async function startFleet(entryIds: readonly string[], holder: string): Promise<Map<string, TestEntry>> {
  const candidates: RelayCandidate[] = entryIds.map((entryId) => ({
    entryId,
    zone: "zone",
    capacityCores: 1,
    holdsOwner: entryId === holder,
  }));
  const entries = new Map<string, TestEntry>();
  const records: MemberRecord[] = [];
  for (const entryId of entryIds) {
    const network = createPeerNetwork({ entryId, incarnation: 1, zone: "zone" }, log);
    cleanUp.push(async () => network.close());
    const port = await network.listen("127.0.0.1", 0);
    records.push({ entryId, incarnation: 1, peerAddress: `127.0.0.1:${port}`, zone: "zone" });
    entries.set(entryId, wireEntry(entryId, network, candidates));
  }
  for (const { network } of entries.values()) network.follow(records);
  for (const { network } of entries.values())
    await vi.waitUntil(() => network.upPeers().length === entryIds.length - 1, { timeout: 5_000 });
  return entries;
}

function wireEntry(entryId: string, peers: PeerNetwork, candidates: readonly RelayCandidate[]): TestEntry {
  const sent: string[] = [];
  const done: OrderOutcome = { kind: "done", clockMilliseconds: 7 };
  const local: TargetOrders = {
    start: async ({ task }) => {
      sent.push(task);
      return entry.answer();
    },
    stop: async () => Promise.resolve(done),
    pace: async () => Promise.resolve(done),
    renew: async () =>
      Promise.resolve(
        Right({
          startedAtUnix: 1,
          clockMilliseconds: 8,
          present: [{ task: "job.0.0.0", run: 2, checkpoint: "saved", percent: 40, usage: 3 }],
          ends: [{ sequence: 5, task: "job.0.0.1", run: 1, kind: "failed", checkpoint: "" }],
        }),
      ),
  };
  const metrics = createMetrics();
  startOrderRelay({ peers, orders: local, log, metrics });
  const relays = createRelayDirectory({ entryId, peers, entries: () => candidates });
  const orders = new RelayedTargetOrders({ peers, local, relays, log, metrics });
  const entry: TestEntry = {
    entryId,
    network: peers,
    sent,
    orders,
    answer: async () => Promise.resolve(done),
  };
  return entry;
}

function find(entries: ReadonlyMap<string, TestEntry>, entryId: string): TestEntry {
  const entry = entries.get(entryId);
  if (entry === undefined) throw new Error(`no entry ${entryId}`);
  return entry;
}

function startOrder(target: number, task: string): StartOrder {
  return {
    target: {
      targetId: `target-${target}`,
      address: "127.0.0.1:1",
      startedAtUnix: 1,
      availabilityZone: "zone",
    },
    fencingToken: 9,
    timeoutMilliseconds: 800,
    task,
    run: 1,
    spec: "the job's spec",
    leaseUntilMilliseconds: 1_000,
    checkpoint: "",
    ticket: undefined,
  };
}

/** Sends one start order to each of a number of targets. */
async function startOnEach(owner: TestEntry, targets: number, prefix: string): Promise<OrderOutcome[]> {
  const tasks = Array.from({ length: targets }, (_, target) => target);
  return Promise.all(
    tasks.map(async (target) => owner.orders.start(startOrder(target, `${prefix}-${target}`))),
  );
}

/** Makes an owner count that many targets: with more than twelve its orders go through relays. */
async function registerTargets(owner: TestEntry, targets: number): Promise<void> {
  await startOnEach(owner, targets, "known");
  await delay(150);
}

afterEach(async () => {
  await Promise.all(cleanUp.splice(0).map(async (clean) => clean()));
});

test("the start orders of a large pool are spread over relays, and none is sent by its owner", async () => {
  const ids = ["owner", "a", "b", "c", "d", "e", "f", "g", "h"];
  const entries = await startFleet(ids, "owner");
  const owner = find(entries, "owner");
  await registerTargets(owner, 56);
  for (const { sent } of entries.values()) sent.length = 0;
  const outcomes = await startOnEach(owner, 56, "task");
  expect(outcomes.every(({ kind }) => kind === "done")).toBe(true);
  const counts = [...entries.values()].map(({ sent }) => sent.length);
  expect(counts.reduce((sum, count) => sum + count, 0)).toBe(56);
  expect(owner.sent).toHaveLength(0);
  expect(Math.max(...counts)).toBeLessThanOrEqual(56 / 2);
});

test("an owner of a small pool sends its own orders", async () => {
  const entries = await startFleet(["owner", "a", "b"], "owner");
  const owner = find(entries, "owner");
  await registerTargets(owner, 8);
  expect(owner.sent).toHaveLength(8);
});

test("a report is relayed unchanged", async () => {
  const entries = await startFleet(["owner", "a"], "owner");
  const owner = find(entries, "owner");
  await registerTargets(owner, 20);
  const { target, fencingToken, timeoutMilliseconds } = startOrder(3, "");
  const report = await owner.orders.renew({
    target,
    fencingToken,
    timeoutMilliseconds,
    acknowledgedSequence: 4,
    leaseUntilMilliseconds: undefined,
    waitMilliseconds: 0,
  });
  expect(report.unsafeCoerce()).toEqual({
    startedAtUnix: 1,
    clockMilliseconds: 8,
    present: [{ task: "job.0.0.0", run: 2, checkpoint: "saved", percent: 40, usage: 3 }],
    ends: [{ sequence: 5, task: "job.0.0.1", run: 1, kind: "failed", checkpoint: "" }],
  });
});

test("a start order whose relay ends before its outcome counts as possibly carried out", async () => {
  const entries = await startFleet(["owner", "a"], "owner");
  const owner = find(entries, "owner");
  const relay = find(entries, "a");
  await registerTargets(owner, 20);
  relay.answer = async () => {
    await delay(5_000);
    return { kind: "done", clockMilliseconds: 1 };
  };
  const waiting = owner.orders.start({ ...startOrder(1, "cut"), timeoutMilliseconds: 4_000 });
  await vi.waitUntil(() => relay.sent.includes("cut"), { timeout: 2_000 });
  await relay.network.close();
  expect((await waiting).kind).toBe("unknown");
  expect(owner.sent).not.toContain("cut");
});

test("orders take another path, each only once, when their relay cannot be reached", async () => {
  const entries = await startFleet(["owner", "a"], "owner");
  const owner = find(entries, "owner");
  await registerTargets(owner, 20);
  await find(entries, "a").network.close();
  await vi.waitUntil(() => owner.network.upPeers().length === 0, { timeout: 5_000 });
  const outcomes = await startOnEach(owner, 20, "again");
  expect(outcomes.every(({ kind }) => kind === "done")).toBe(true);
  expect(owner.sent.filter((task) => task.startsWith("again"))).toHaveLength(20);
});
