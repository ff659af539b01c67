/**
 * Which machines a new holder of the leader role may order, with a store in memory.
 * @packageDocumentation
 */
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { leaderRolePrefix, type SessionLeaderRole } from "../../pool-owners/index.js";
import { createStoreEngine, createStoreFaults, MemoryStoreClient } from "../../stand-ins/index.js";
import type { StoreEngine, StoreFaults } from "../../stand-ins/index.js";
import { createLog } from "../../telemetry/index.js";
import { OrderRecord, orderRecordPrefix } from "../order-record.js";

const roleKey = `${leaderRolePrefix}fleet`;
const waitMilliseconds = 60_000;

let engine: StoreEngine;
let faults: StoreFaults;
beforeEach(() => {
  engine = createStoreEngine();
  faults = createStoreFaults();
});
afterEach(() => {
  engine.close();
});

/** Takes the leader role; `heldFor` is how long the holder says that it has held it. */
function takeRole(heldFor = 0): SessionLeaderRole {
  const [held] = engine.range(roleKey);
  engine.write({ key: roleKey, value: "{}", expectedRevision: held?.revision ?? 0, leaseId: undefined });
  const revision = engine.range(roleKey)[0]?.revision ?? 0;
  const role: Pick<SessionLeaderRole, "expectHeld" | "fencingToken" | "heldForMilliseconds" | "isHeld"> = {
    isHeld: () => true,
    fencingToken: () => revision,
    heldForMilliseconds: () => heldFor,
    expectHeld: () => ({ key: roleKey, revision }),
  };
  return role as SessionLeaderRole;
}

async function open(leaderRole: SessionLeaderRole): Promise<OrderRecord> {
  const store = new MemoryStoreClient(engine, faults);
  const record = await OrderRecord.open({ store, leaderRole, waitMilliseconds, log: createLog("silent") });
  if (record === undefined) throw new Error("the store did not answer");
  return record;
}

function listRecords(): ReturnType<StoreEngine["range"]> {
  return engine.range(orderRecordPrefix, `${orderRecordPrefix}~`);
}

/** Lets the store's lease of the oldest record end, as it does when no order of the batch can take effect any more. */
function endOldestRecord(): void {
  const [oldest] = listRecords();
  engine.revokeLease(oldest?.leaseId ?? "");
}

test("each batch of a former holder's orders keeps its machines from the next holder for its own time only", async () => {
  const former = await open(takeRole());
  expect(await former.recordOrders(["first"])).toBe(true);
  expect(await former.recordOrders(["second"])).toBe(true);
  const next = await open(takeRole());
  expect(["first", "second", "other"].map((id) => next.mayOrder(id))).toEqual([false, false, true]);
  endOldestRecord();
  await next.refresh();
  expect(["first", "second"].map((id) => next.mayOrder(id))).toEqual([true, false]);
  expect(next.isSettled()).toBe(false);
  endOldestRecord();
  await next.refresh();
  expect(next.isSettled()).toBe(true);
});

test("a holder's own orders do not keep it from further ones", async () => {
  const record = await open(takeRole());
  await record.recordOrders(["machine"]);
  await record.refresh();
  expect(record.mayOrder("machine")).toBe(true);
  expect(record.isSettled()).toBe(true);
});

test("a former holder records nothing any more, and nothing is ordered while the store does not answer", async () => {
  const former = await open(takeRole());
  const next = await open(takeRole());
  expect(await former.recordOrders(["machine"])).toBe(false);
  faults.mode = "refusing";
  expect(await next.recordOrders(["machine"])).toBe(false);
  expect(listRecords()).toEqual([]);
});

test("a record that took long to store is kept from the time of its orders on", async () => {
  const record = await open(takeRole());
  const clock = vi.spyOn(performance, "now");
  let now = 0;
  clock.mockImplementation(() => (now += 1_000));
  const { leases } = engine.counts;
  expect(await record.recordOrders(["machine"])).toBe(true);
  clock.mockRestore();
  // The lease is granted, and renewed once.
  expect(engine.counts.leases).toBe(leases + 2);
});

test("a holder that has waited long enough orders all machines, whatever it could read", async () => {
  const former = await open(takeRole());
  await former.recordOrders(["machine"]);
  const next = await open(takeRole(waitMilliseconds));
  expect(next.mayOrder("machine")).toBe(true);
});
