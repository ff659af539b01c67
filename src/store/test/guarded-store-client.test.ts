/**
 * `GuardedStoreClient`: retries, circuit breaker and rate limit.
 * @packageDocumentation
 */
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { createRandom } from "../../shared/index.js";
import { createStoreEngine, createStoreFaults, MemoryStoreClient } from "../../stand-ins/store/index.js";
import { createMetrics } from "../../telemetry/index.js";
import { GuardedStoreClient } from "../index.js";

function createParts(callsPerSecond = 100) {
  const engine = createStoreEngine();
  const faults = createStoreFaults();
  const metrics = createMetrics();
  const client = new MemoryStoreClient(engine, faults);
  const store = new GuardedStoreClient({ client, callsPerSecond, random: createRandom(1), metrics });
  const calls = (call: string, result: string): number =>
    metrics.value("store_calls_total", { call, result });
  const breakerGauge = (): number => metrics.value("store_breaker_open");
  return { engine, faults, store, calls, breakerGauge };
}

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

test("a failed read is retried after a delay, a failed write is not", async () => {
  const { faults, store, calls } = createParts();
  faults.mode = "down";
  const read = store.get("a");
  await vi.advanceTimersByTimeAsync(1);
  expect(calls("get", "unavailable")).toBe(1);
  await vi.advanceTimersByTimeAsync(500);
  expect((await read).isLeft()).toBe(true);
  expect(calls("get", "unavailable")).toBe(3);
  const result = await store.compareAndSwap({ key: "a", value: 1, expectedRevision: 0 });
  expect(result.kind).toBe("not-done");
  expect(calls("compare-and-swap", "unavailable")).toBe(1);
});

test("a write whose response was lost is not sent again", async () => {
  const { engine, faults, store } = createParts();
  faults.loseAnswers = 1;
  const result = await store.compareAndSwap({ key: "a", value: 1, expectedRevision: 0 });
  expect(result.kind).toBe("unknown");
  await vi.advanceTimersByTimeAsync(1_000);
  expect(engine.counts.writes).toBe(1);
});

test("the breaker opens after five failures, lets one probe through and closes on a success", async () => {
  const { faults, store, calls, breakerGauge } = createParts();
  expect(breakerGauge()).toBe(0);
  faults.mode = "down";
  const write = { key: "a", value: 1, expectedRevision: 0 };
  for (let attempt = 0; attempt < 5; attempt += 1) await store.compareAndSwap(write);
  expect(store.breakerState()).toBe("open");
  expect(breakerGauge()).toBe(1);
  expect((await store.compareAndSwap(write)).kind).toBe("not-done");
  expect(calls("compare-and-swap", "unavailable")).toBe(5);
  await vi.advanceTimersByTimeAsync(1_000);
  expect(store.breakerState()).toBe("half-open");
  expect(breakerGauge()).toBe(1);
  const probes = await Promise.all([store.compareAndSwap(write), store.compareAndSwap(write)]);
  expect(probes.map(({ kind }) => kind)).toEqual(["not-done", "not-done"]);
  expect(calls("compare-and-swap", "unavailable")).toBe(6);
  faults.mode = "up";
  await vi.advanceTimersByTimeAsync(1_000);
  expect((await store.compareAndSwap(write)).kind).toBe("done");
  expect(store.breakerState()).toBe("closed");
  expect(breakerGauge()).toBe(0);
});

test("calls over the rate limit wait, then fail, and do not use the share of lease renewals", async () => {
  const { store, engine } = createParts(10);
  const lease = (await store.grantLease(60)).unsafeCoerce();
  const readsBefore = engine.counts.reads;
  const writes = Array.from({ length: 40 }, async (_, index) =>
    store.compareAndSwap({ key: `k-${index}`, value: 1, expectedRevision: 0 }),
  );
  const renewed = await store.renewLease(lease.leaseId);
  expect(renewed.unsafeCoerce()).toBe(true);
  await vi.advanceTimersByTimeAsync(5_000);
  const kinds = (await Promise.all(writes)).map(({ kind }) => kind);
  // Other calls have 8 tokens: the grant used one, 7 writes use the rest, and 8 more wait for the next second's tokens.
  expect(kinds.filter((kind) => kind === "done")).toHaveLength(15);
  expect(kinds.filter((kind) => kind === "not-done")).toHaveLength(25);
  expect(engine.counts.reads).toBe(readsBefore);
});
