/**
 * Which pools an entry takes when many have no owner at once, as after a power loss of the whole fleet.
 * @packageDocumentation
 */
import Emittery from "emittery";
import { Left } from "purify-ts";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { createStoreEngine, createStoreFaults, MemoryStoreClient } from "../../stand-ins/index.js";
import type { OrderOutcome, TargetOrders } from "../../task-runs/index.js";
import { createLog, createMetrics } from "../../telemetry/index.js";
import {
  decodeOwnerRecord,
  OwnershipManager,
  ownerPrefix,
  orderForOwnership,
  type EntrySession,
  type EntrySessionEvents,
  type OwnerDirectory,
} from "../index.js";

const pools = ["presses", "benders", "rollers", "cutters", "shared"];
const entries = new Map(["a", "b", "c", "d"].map((entryId) => [entryId, 1]));

/** An entry that is first in the queues of two pools; with more pools than entries there always is one. */
const first = findEntryWithTwoPools();
const done: OrderOutcome = { kind: "done", clockMilliseconds: 1 };
const orders: TargetOrders = {
  start: async () => Promise.resolve(done),
  stop: async () => Promise.resolve(done),
  pace: async () => Promise.resolve(done),
  renew: async () => Promise.resolve(Left({ kind: "refused", reason: "not-connected" })),
};

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

function findEntryWithTwoPools(): string {
  const candidates = [...entries].map(([entryId, capacityCores]) => ({
    entryId,
    capacityCores,
    ownedPools: 0,
  }));
  const owners = pools.map((pool) => orderForOwnership(pool, candidates)[0] ?? "");
  return owners.find((owner, index) => owners.indexOf(owner) !== index) ?? "";
}

async function startOwnershipManager(settleMilliseconds: number, engine = createStoreEngine()) {
  const store = new MemoryStoreClient(engine, createStoreFaults());
  const owners = await readOwners(store);
  const granted = await store.grantLease(60);
  const lease = { id: granted.unsafeCoerce().leaseId as string | undefined };
  const known = new Map(entries);
  const session: EntrySession = {
    events: new Emittery<EntrySessionEvents>(),
    leaseId: () => lease.id,
    validUntil: () => Number.POSITIVE_INFINITY,
    close: async () => Promise.resolve(),
  };
  const ownershipManager = new OwnershipManager({
    entryId: first,
    self: { entryId: first, incarnation: 1, peerAddress: "127.0.0.1:1", zone: "zone" },
    store,
    session,
    // The directory does not contain the pools that this entry has taken since the start.
    directory: { entries: () => known, owners: () => owners, ageMilliseconds: () => 0 },
    pools: () => pools,
    listedTargets: () => new Map(),
    orders,
    advice: undefined,
    log: createLog("silent"),
    metrics: createMetrics(),
    runLeaseMilliseconds: 6_000,
    longestRunLeaseMilliseconds: 6_000,
    retentionMilliseconds: 60_000,
    settleMilliseconds,
  });
  void ownershipManager.run();
  const close = async (): Promise<void> => {
    engine.close();
    await ownershipManager.close();
  };
  return { ownershipManager, engine, store, session, lease, known, close };
}

/** Reads the owner records as an entry does when it starts. */
async function readOwners(store: MemoryStoreClient): Promise<ReturnType<OwnerDirectory["owners"]>> {
  const { records } = (await store.list(ownerPrefix)).unsafeCoerce();
  const owners = records.flatMap(({ key, value, revision }) => {
    const record = decodeOwnerRecord(value);
    return record === undefined ? [] : [[key.slice(ownerPrefix.length), { ...record, revision }] as const];
  });
  return new Map(owners);
}

test("an entry that restarts after a power loss takes its own pools back without waiting for other entries", async () => {
  const before = await startOwnershipManager(0);
  await vi.advanceTimersByTimeAsync(200);
  const held = before.ownershipManager.owners().map(({ pool }) => pool);
  expect(held).toHaveLength(1);
  // The process crashes; its lease stays valid for a while.
  const after = await startOwnershipManager(700, before.engine);
  await vi.advanceTimersByTimeAsync(150);
  expect(after.ownershipManager.owners().map(({ pool }) => pool)).toEqual(held);
  await before.close();
  await after.close();
});

test("an entry does not take a second pool at once, before other entries could have taken it", async () => {
  const { ownershipManager, close } = await startOwnershipManager(0);
  await vi.advanceTimersByTimeAsync(200);
  expect(ownershipManager.owners()).toHaveLength(1);
  await close();
});

async function loseLease({
  store,
  session,
  lease,
}: Awaited<ReturnType<typeof startOwnershipManager>>): Promise<void> {
  const leaseId = lease.id ?? "";
  lease.id = undefined;
  await session.events.emit("lost", { leaseId, reason: "the store has ended it" });
  await store.revokeLease(leaseId);
}

test("the first entry with a lease after a store outage takes no pools before the other entries are back", async () => {
  const started = await startOwnershipManager(700);
  const { ownershipManager, store, lease, known } = started;
  await vi.advanceTimersByTimeAsync(1_000);
  expect(ownershipManager.owners().length).toBeGreaterThan(0);
  await loseLease(started);
  known.clear();
  known.set(first, 1);
  lease.id = (await store.grantLease(60)).unsafeCoerce().leaseId;
  await vi.advanceTimersByTimeAsync(500);
  expect(ownershipManager.owners()).toHaveLength(0);
  for (const [entryId, capacityCores] of entries) known.set(entryId, capacityCores);
  await vi.advanceTimersByTimeAsync(150);
  expect(ownershipManager.owners()).toHaveLength(1);
  await started.close();
});

test("an entry that lost its lease alone competes again at once", async () => {
  const started = await startOwnershipManager(700);
  const { ownershipManager, store, lease } = started;
  await vi.advanceTimersByTimeAsync(1_000);
  await loseLease(started);
  lease.id = (await store.grantLease(60)).unsafeCoerce().leaseId;
  await vi.advanceTimersByTimeAsync(150);
  expect(ownershipManager.owners().length).toBeGreaterThan(0);
  await started.close();
});
