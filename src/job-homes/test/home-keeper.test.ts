/**
 * Which homes an entry takes when many have none at once, as after a loss of the whole fleet's power.
 * @packageDocumentation
 */
import Emittery from "emittery";
import { Left } from "purify-ts";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { createStoreEngine, createStoreFaults, MemoryStoreClient } from "../../stand-ins/index.js";
import type { OrderOutcome, TargetOrders } from "../../task-runs/index.js";
import { createLog, createMetrics } from "../../telemetry/index.js";
import { HomeKeeper, orderForHome, type EntrySession, type EntrySessionEvents } from "../index.js";

const pools = ["presses", "benders", "rollers", "cutters", "shared"];
const entries = new Map(["a", "b", "c", "d"].map((entryId) => [entryId, 1]));

/** With more pools than entries some entry is first for two. */
const first = findBusiest();
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

function findBusiest(): string {
  const candidates = [...entries].map(([entryId, capacityCores]) => ({ entryId, capacityCores, homes: 0 }));
  const owners = pools.map((pool) => orderForHome(pool, candidates)[0] ?? "");
  return owners.find((owner, index) => owners.indexOf(owner) !== index) ?? "";
}

async function startKeeper() {
  const engine = createStoreEngine();
  const store = new MemoryStoreClient(engine, createStoreFaults());
  const { leaseId } = (await store.grantLease(60)).unsafeCoerce();
  const session: EntrySession = {
    events: new Emittery<EntrySessionEvents>(),
    leaseId: () => leaseId,
    standsUntil: () => Number.POSITIVE_INFINITY,
    close: async () => Promise.resolve(),
  };
  const keeper = new HomeKeeper({
    entryId: first,
    store,
    session,
    // What this entry has just taken is not heard of yet.
    directory: { entries: () => entries, homes: () => new Map(), ageMilliseconds: () => 0 },
    pools: () => pools,
    listedTargets: () => new Map(),
    orders,
    advice: undefined,
    log: createLog("silent"),
    metrics: createMetrics(),
    runLeaseMilliseconds: 6_000,
    retentionMilliseconds: 60_000,
    settleMilliseconds: 0,
  });
  void keeper.run();
  const close = async (): Promise<void> => {
    engine.close();
    await keeper.close();
  };
  return { keeper, close };
}

test("an entry does not take a second home in the same moment, before others could have taken it", async () => {
  const { keeper, close } = await startKeeper();
  await vi.advanceTimersByTimeAsync(200);
  expect(keeper.homes()).toHaveLength(1);
  await close();
});
