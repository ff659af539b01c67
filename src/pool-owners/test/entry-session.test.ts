/**
 * An entry's lease when the wall clock and the monotonic clock disagree, as after a suspension of the machine, and its member
 * record when the store carries out a write late.
 * @packageDocumentation
 */
import { afterEach, expect, test, vi } from "vitest";
import {
  createStoreEngine,
  createStoreFaults,
  MemoryStoreClient,
  type StoreEngine,
} from "../../stand-ins/index.js";
import type { StoreTransaction } from "../../store/index.js";
import { createLog, createMetrics } from "../../telemetry/index.js";
import { openEntrySession, type EntrySession } from "../entry-session.js";
import { entryPrefix } from "../member-registration.js";
import { waitFor } from "./owner-fixture.js";

const leaseMilliseconds = 3_000;
const self = { entryId: "a", incarnation: 1, peerAddress: "127.0.0.1:1", zone: "zone" };

let close: () => Promise<void> = async () => Promise.resolve();
afterEach(async () => {
  vi.restoreAllMocks();
  await close();
});

const ownKey = `${entryPrefix}${self.entryId}`;

interface TestSession {
  readonly session: EntrySession;
  readonly engine: StoreEngine;
  readonly faults: ReturnType<typeof createStoreFaults>;
  readonly metrics: ReturnType<typeof createMetrics>;
  /** Reasons of the losses of the lease. */
  readonly losses: string[];
}

/** Starts a session and waits until it has a lease; `adapt` may change its store. */
async function startSession(
  adapt: (store: MemoryStoreClient) => void = () => undefined,
): Promise<TestSession> {
  const engine = createStoreEngine();
  const faults = createStoreFaults();
  const store = new MemoryStoreClient(engine, faults);
  adapt(store);
  const metrics = createMetrics();
  const session = openEntrySession({
    store,
    self,
    listedRevision: () => engine.range(ownKey)[0]?.revision,
    log: createLog("silent"),
    metrics,
    leaseMilliseconds,
  });
  const losses: string[] = [];
  session.events.on("lost", ({ reason }) => {
    losses.push(reason);
  });
  close = async () => {
    faults.mode = "up";
    await session.close();
    engine.close();
  };
  await waitFor(() => session.leaseId());
  return { session, engine, faults, metrics, losses };
}

/** Leaves the first transaction of a store without an answer, and returns what carries it out. */
function holdFirstTransaction(store: MemoryStoreClient): { carryOut: () => Promise<string> } {
  const transact = store.transact.bind(store);
  const held: StoreTransaction[] = [];
  store.transact = async (transaction) => {
    if (held.length > 0) return transact(transaction);
    held.push(transaction);
    return Promise.resolve({ kind: "unknown", failure: { kind: "timeout", message: "no answer" } });
  };
  return {
    carryOut: async () => (await transact(held[0] ?? { expected: [], writes: [] })).kind,
  };
}

async function pass(milliseconds: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** Advances the wall clock but not the monotonic clock. */
function advanceWallClock(milliseconds: number): void {
  const now = Date.now.bind(Date);
  vi.spyOn(Date, "now").mockImplementation(() => now() + milliseconds);
}

test("an entry that was suspended for longer than its lease does not use the lease after it resumes", async () => {
  const { session, faults } = await startSession();
  faults.mode = "down";
  advanceWallClock(10_000);
  expect(session.leaseId()).toBeUndefined();
});

test("an entry keeps its lease when the wall clock jumps, once the store has confirmed it", async () => {
  const { session, losses } = await startSession();
  const leaseId = session.leaseId();
  advanceWallClock(10_000);
  expect(session.leaseId()).toBeUndefined();
  const requestSentAt = performance.now();
  expect(await waitFor(() => session.leaseId())).toBe(leaseId);
  // The regular renewal would follow only after three quarters of a second.
  expect(performance.now() - requestSentAt).toBeLessThan(leaseMilliseconds / 8);
  expect(losses).toEqual([]);
});

test("an unconfirmed lease is not renewed in a busy loop while the store does not answer", async () => {
  const { session, faults } = await startSession();
  faults.mode = "down";
  advanceWallClock(10_000);
  const calls = vi.spyOn(MemoryStoreClient.prototype, "renewLease");
  const until = performance.now() + 500;
  while (performance.now() < until) {
    session.leaseId();
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
  expect(calls.mock.calls.length).toBeGreaterThan(0);
  expect(calls.mock.calls.length).toBeLessThan(6);
});

// Guards against an entry that holds pools and cannot be found: its record was bound to a lease that nobody renews.
test("a first member record that the store writes late does not replace the record of the present lease", async () => {
  let late = { carryOut: async () => Promise.resolve("") };
  const { session, engine } = await startSession((store) => {
    late = holdFirstTransaction(store);
  });
  expect(await late.carryOut()).not.toBe("done");
  await pass(leaseMilliseconds + 500);
  expect(session.leaseId()).toBeDefined();
  expect(engine.range(ownKey)).toMatchObject([{ leaseId: session.leaseId() }]);
});

// Guards against an entry that does not notice that the others cannot find it.
test("a member record that is deleted while the lease stands is back within two seconds", async () => {
  const { session, engine, metrics } = await startSession();
  const [written] = engine.range(ownKey);
  engine.write({
    key: ownKey,
    value: undefined,
    expectedRevision: written?.revision ?? 0,
    leaseId: undefined,
  });
  expect(engine.range(ownKey)).toEqual([]);
  await pass(2_000);
  expect(engine.range(ownKey)).toMatchObject([{ leaseId: session.leaseId() }]);
  expect(metrics.expose()).toMatch(/member_records_replaced_total\{.*state="absent".*\} 1/);
});

// Guards against two processes that replace each other's record for as long as both live.
test("the member record of a later process of the entry is left as it is", async () => {
  const { engine } = await startSession();
  const [written] = engine.range(ownKey);
  const value = JSON.stringify({ ...self, incarnation: 2 });
  engine.write({ key: ownKey, value, expectedRevision: written?.revision ?? 0, leaseId: undefined });
  await pass(1_500);
  expect(engine.range(ownKey)).toMatchObject([{ value }]);
});
