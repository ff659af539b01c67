/**
 * The check interval of an ownership manager while all pools have an owner, and its reaction to a vacant pool.
 * @packageDocumentation
 */
import Emittery from "emittery";
import { Left } from "purify-ts";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { createStoreEngine, createStoreFaults, MemoryStoreClient } from "../../stand-ins/index.js";
import type { TargetOrders } from "../../task-runs/index.js";
import { createLog, createMetrics } from "../../telemetry/index.js";
import { OwnershipManager, type EntrySession, type EntrySessionEvents, type OwnerRecord } from "../index.js";

const refused = { kind: "refused", reason: "not-connected" } as const;
const orders: TargetOrders = {
  start: async () => Promise.resolve(refused),
  stop: async () => Promise.resolve(refused),
  pace: async () => Promise.resolve(refused),
  renew: async () => Promise.resolve(Left(refused)),
};

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

async function startOwnershipManager() {
  const engine = createStoreEngine();
  const store = new MemoryStoreClient(engine, createStoreFaults());
  const leaseId = (await store.grantLease(60)).unsafeCoerce().leaseId;
  const owners = new Map<string, OwnerRecord & { revision: number }>();
  for (const pool of ["presses", "benders"])
    owners.set(pool, { entryId: "other", term: "term", barrier: 0, revision: 1 });
  let age = 0;
  let polls = 0;
  const session: EntrySession = {
    events: new Emittery<EntrySessionEvents>(),
    leaseId: () => leaseId,
    validUntil: () => Number.POSITIVE_INFINITY,
    close: async () => Promise.resolve(),
  };
  const pools = (): string[] => {
    polls += 1;
    return [...owners.keys(), "presses"];
  };
  const ownershipManager = new OwnershipManager({
    entryId: "self",
    self: { entryId: "self", incarnation: 1, peerAddress: "127.0.0.1:1", zone: "zone" },
    store,
    session,
    directory: { entries: () => new Map([["self", 1]]), owners: () => owners, ageMilliseconds: () => age },
    pools,
    listedTargets: () => new Map(),
    orders,
    advice: undefined,
    log: createLog("silent"),
    metrics: createMetrics(),
    runLeaseMilliseconds: 6_000,
    longestRunLeaseMilliseconds: 6_000,
    retentionMilliseconds: 60_000,
    settleMilliseconds: 0,
  });
  void ownershipManager.run();
  const close = async (): Promise<void> => {
    engine.close();
    await ownershipManager.close();
  };
  return { ownershipManager, owners, close, polls: () => polls, setAge: (next: number) => void (age = next) };
}

test("an entry checks the pools once a second while other entries own all of them", async () => {
  const { polls, close } = await startOwnershipManager();
  await vi.advanceTimersByTimeAsync(10_000);
  // Each check reads the pools twice: for the pools to take, and for whether all pools have an owner.
  expect(polls()).toBeLessThanOrEqual(2 * 11);
  await close();
});

test("an entry takes a pool at once when it learns that the pool has no owner", async () => {
  const { ownershipManager, owners, close } = await startOwnershipManager();
  await vi.advanceTimersByTimeAsync(2_050);
  owners.delete("presses");
  ownershipManager.hurry();
  await vi.advanceTimersByTimeAsync(10);
  expect(ownershipManager.owner("presses")).toBeDefined();
  await close();
});

test("an entry whose directory is outdated checks the pools ten times a second", async () => {
  const { polls, setAge, close } = await startOwnershipManager();
  setAge(3_000);
  await vi.advanceTimersByTimeAsync(1_050);
  setAge(0);
  const before = polls();
  await vi.advanceTimersByTimeAsync(110);
  expect(polls()).toBeGreaterThan(before);
  await close();
});
