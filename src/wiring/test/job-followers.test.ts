/**
 * The operators' configuration as an entry follows it: never back, never by an old copy, never by what cannot be read.
 * @packageDocumentation
 */
import { Left, Right } from "purify-ts";
import { afterEach, expect, test, vi } from "vitest";
import type { QueueTable } from "../../jobs/index.js";
import { createStoreEngine, createStoreFaults, MemoryStoreClient } from "../../stand-ins/index.js";
import { createLog } from "../../telemetry/index.js";
import type { JobEntryOptions } from "../job-entry.js";
import { followConfiguration, followRegistry } from "../job-followers.js";

const configurationKey = "operators/configuration";
const configurationMilliseconds = 700;

function createTable(version: number): QueueTable {
  const limits = {
    maximumHeaderBytes: 1,
    maximumBodyBytes: 1,
    headerTimeoutMilliseconds: 1,
    idleTimeoutMilliseconds: 1,
  };
  return { version, queues: [], pools: [], limits };
}

async function waitFor(isTrue: () => boolean): Promise<void> {
  for (let attempt = 0; attempt < 1_000 && !isTrue(); attempt += 1) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  expect(isTrue()).toBe(true);
}

function startFollowing() {
  const engine = createStoreEngine();
  const faults = createStoreFaults();
  const lines: string[] = [];
  const taken: number[] = [];
  const options: Pick<JobEntryOptions, "store" | "log" | "configurationMilliseconds" | "operators"> = {
    store: new MemoryStoreClient(engine, faults),
    log: createLog("info", (line) => lines.push(line)),
    configurationMilliseconds,
    operators: {
      prefix: "operators/",
      configurationKey,
      decode: (value) => (typeof value === "number" ? Right(createTable(value)) : Left("no version")),
      decodeWaves: () => [],
      waveStatus: { key: (wave) => `status/${wave}`, encode: () => ({}) },
    },
  };
  const followed = followConfiguration(options, ({ version }) => taken.push(version));
  const write = (value: unknown): void => {
    const revision = engine.range(configurationKey)[0]?.revision ?? 0;
    const written = { key: configurationKey, value: JSON.stringify(value), expectedRevision: revision };
    engine.write({ ...written, leaseId: undefined });
  };
  const close = (): void => {
    followed.follower.close();
    engine.close();
  };
  return { ...followed, faults, lines, taken, write, close };
}

afterEach(() => {
  vi.useRealTimers();
});

test("an entry without homes does not follow the targets of the whole fleet", async () => {
  vi.useFakeTimers();
  const engine = createStoreEngine();
  const store = new MemoryStoreClient(engine, createStoreFaults());
  const lists = vi.spyOn(store, "list");
  const waits = vi.spyOn(store, "changesAfter");
  const options = { store, registry: { prefix: "targets/", decode: () => [] } };
  const { follower, listedTargets } = followRegistry(
    options,
    () => [],
    () => undefined,
  );
  await vi.advanceTimersByTimeAsync(1_000);
  expect(lists).toHaveBeenCalledTimes(1);
  expect(listedTargets("presses")).toEqual(new Map());
  await vi.advanceTimersByTimeAsync(30_000);
  expect(waits).not.toHaveBeenCalled();
  expect(listedTargets("presses")).toBeUndefined();
  follower.hurry();
  await vi.advanceTimersByTimeAsync(1_000);
  expect(waits.mock.calls.length + lists.mock.calls.length).toBeGreaterThan(1);
  expect(listedTargets("presses")).toEqual(new Map());
  follower.close();
  engine.close();
});

test("an entry that takes a home lists the targets, and does not read all that changed since it last read them", async () => {
  vi.useFakeTimers();
  const engine = createStoreEngine();
  const store = new MemoryStoreClient(engine, createStoreFaults());
  const lists = vi.spyOn(store, "list");
  const waits = vi.spyOn(store, "changesAfter");
  const options = { store, registry: { prefix: "targets/", decode: () => [] } };
  const onChanged = vi.fn();
  const { follower } = followRegistry(options, () => [], onChanged);
  await vi.advanceTimersByTimeAsync(30_000);
  onChanged.mockClear();
  follower.hurry();
  await vi.advanceTimersByTimeAsync(100);
  expect(lists).toHaveBeenCalledTimes(2);
  expect(waits).not.toHaveBeenCalled();
  // The home hears of them also when none has changed.
  expect(onChanged).toHaveBeenCalledTimes(1);
  follower.close();
  engine.close();
});

test("newer versions are taken, an older or unreadable one changes nothing", async () => {
  const { usable, current, taken, lines, write, close } = startFollowing();
  write(4);
  await waitFor(() => usable()?.version === 4);
  write(2);
  write({ version: "broken" });
  await waitFor(() => lines.some((line) => line.includes("configuration-unreadable")));
  expect(current()?.version).toBe(4);
  write(9);
  await waitFor(() => usable()?.version === 9);
  expect(taken).toEqual([4, 9]);
  close();
});

test("callers are not served by a copy that may be older than the bound, and are again once the store answers", async () => {
  const { usable, current, faults, write, close } = startFollowing();
  write(4);
  await waitFor(() => usable()?.version === 4);
  faults.mode = "down";
  await waitFor(() => usable() === undefined);
  expect(current()?.version).toBe(4);
  write(5);
  faults.mode = "up";
  await waitFor(() => usable()?.version === 5);
  close();
});
