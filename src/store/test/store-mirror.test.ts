/**
 * `StoreMirror` with late records, deletions, watches that stop reporting, and slow or failed lists.
 * @packageDocumentation
 */
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { createStoreEngine, createStoreFaults, MemoryStoreClient } from "../../stand-ins/store/index.js";
import { createStoreMirror, type StoreMirror } from "../index.js";

const prefix = "things/";
let mirror: StoreMirror;

function createParts() {
  const engine = createStoreEngine();
  const faults = createStoreFaults();
  const store = new MemoryStoreClient(engine, faults);
  mirror = createStoreMirror({ store, prefix, refreshMilliseconds: 1_000, retryMilliseconds: 100 });
  const put = async (key: string, value: unknown, expectedRevision: number): Promise<number> => {
    const result = await store.compareAndSwap({ key: `${prefix}${key}`, value, expectedRevision });
    return result.kind === "done" ? result.revision : 0;
  };
  return { engine, faults, put };
}

function mirroredValue(key: string): unknown {
  return mirror.records().get(`${prefix}${key}`)?.value;
}

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  mirror.close();
  vi.useRealTimers();
});

test("a late offer of a deleted record does not restore it", async () => {
  const { put } = createParts();
  await vi.advanceTimersByTimeAsync(10);
  const written = await put("a", 1, 0);
  await put("a", undefined, written);
  mirror.offer({ key: `${prefix}a`, value: 1, revision: written });
  expect(mirroredValue("a")).toBeUndefined();
  await vi.advanceTimersByTimeAsync(1_100);
  mirror.offer({ key: `${prefix}a`, value: 1, revision: written });
  expect(mirroredValue("a")).toBeUndefined();
  await put("a", 2, 0);
  expect(mirroredValue("a")).toBe(2);
});

test("a late offer of a record deleted before the first list does not restore it", async () => {
  const { put } = createParts();
  const written = await put("a", 1, 0);
  await put("a", undefined, written);
  await vi.advanceTimersByTimeAsync(10);
  mirror.offer({ key: `${prefix}a`, value: 1, revision: written });
  expect(mirroredValue("a")).toBeUndefined();
});

test("a watch that stops reporting is detected by the list and opened again", async () => {
  const { engine, faults, put } = createParts();
  await vi.advanceTimersByTimeAsync(10);
  faults.muteWatches = true;
  const written = await put("a", 1, 0);
  expect(mirroredValue("a")).toBeUndefined();
  await vi.advanceTimersByTimeAsync(1_100);
  expect(mirroredValue("a")).toBe(1);
  expect(engine.counts.watches).toBe(2);
  faults.muteWatches = false;
  await put("a", 2, written);
  expect(mirroredValue("a")).toBe(2);
});

test("a working watch is kept when the list is read again", async () => {
  const { engine, put } = createParts();
  await vi.advanceTimersByTimeAsync(10);
  await put("a", 1, 0);
  await vi.advanceTimersByTimeAsync(5_000);
  expect(engine.counts.watches).toBe(1);
  expect(engine.counts.reads).toBeGreaterThan(4);
});

test("confirmedAt is the time at which the list was requested", async () => {
  const { faults } = createParts();
  await vi.advanceTimersByTimeAsync(10);
  faults.delayMilliseconds = 5_000;
  const requestSentAt = Date.now();
  const refreshed = mirror.refresh();
  await vi.advanceTimersByTimeAsync(5_000);
  expect(await refreshed).toBe(true);
  expect(mirror.confirmedAt()).toBeLessThanOrEqual(requestSentAt + 1_000);
});

test("a watch that broke with the store is opened again", async () => {
  const { faults, put } = createParts();
  await vi.advanceTimersByTimeAsync(10);
  faults.mode = "down";
  await vi.advanceTimersByTimeAsync(2_000);
  faults.mode = "up";
  await put("a", 1, 0);
  await vi.advanceTimersByTimeAsync(1_200);
  expect(mirroredValue("a")).toBe(1);
});

test("a mirror without a watch lists rarely, and watches once the condition holds", async () => {
  const { engine, put } = createParts();
  let isChosen = false;
  mirror.watchWhile(() => isChosen);
  await vi.advanceTimersByTimeAsync(10);
  const readsBefore = engine.counts.reads;
  await put("a", 1, 0);
  await vi.advanceTimersByTimeAsync(11_000);
  expect([engine.counts.watches, engine.counts.reads - readsBefore, mirroredValue("a")]).toEqual([
    0,
    0,
    undefined,
  ]);
  await vi.advanceTimersByTimeAsync(1_500);
  expect(mirroredValue("a")).toBe(1);
  isChosen = true;
  await vi.advanceTimersByTimeAsync(1_100);
  expect(engine.counts.watches).toBe(1);
  await put("b", 2, 0);
  expect(mirroredValue("b")).toBe(2);
});
