/**
 * Following the operators' configuration and the registered targets: an older or invalid configuration is not applied, an
 * outdated copy is not used, and targets are read no more often than needed.
 * @packageDocumentation
 */
import { Left, Right, type Either } from "purify-ts";
import { afterEach, expect, test, vi } from "vitest";
import type { QueueTable } from "../../jobs/index.js";
import { createStoreEngine, createStoreFaults, MemoryStoreClient } from "../../stand-ins/index.js";
import { createLog } from "../../telemetry/index.js";
import { createWorkspaceTable, type WorkspaceDefinition } from "../../workspaces/index.js";
import type { JobEntryOptions } from "../job-entry.js";
import { followConfiguration, followRegistry } from "../job-followers.js";

const configurationKey = "operators/configuration";
const configurationMilliseconds = 700;

const north = { name: "north", weight: 1, cap: { cpuMillicores: 0, memoryMegabytes: 0, accelerators: 0 } };

interface WrittenTable {
  readonly version: number;
  readonly workspaces: readonly WorkspaceDefinition[];
}

function decodeTable(value: unknown): Either<string, QueueTable> {
  if (typeof value === "number") return Right(createTable(value));
  const { version, workspaces } = value as Partial<WrittenTable>;
  if (version === undefined || workspaces === undefined) return Left("no version");
  return createWorkspaceTable(workspaces).map((table) => ({ ...createTable(version), workspaces: table }));
}

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

function startFollower() {
  const engine = createStoreEngine();
  const faults = createStoreFaults();
  const lines: string[] = [];
  const taken: number[] = [];
  const decoded: unknown[] = [];
  const options: Pick<JobEntryOptions, "store" | "log" | "configurationMilliseconds" | "operators"> = {
    store: new MemoryStoreClient(engine, faults),
    log: createLog("info", (line) => lines.push(line)),
    configurationMilliseconds,
    operators: {
      prefix: "operators/",
      configurationKey,
      decode: (value) => {
        decoded.push(value);
        return decodeTable(value);
      },
      decodeWaves: (records) =>
        [...records.keys()].flatMap((key) => {
          const wave = Number(key.split("wave-")[1]);
          return Number.isNaN(wave)
            ? []
            : [{ wave, machineIds: [], durationMilliseconds: 1, maximumDown: 1 }];
        }),
      waveStatus: { key: (wave) => `status/${wave}`, encode: () => ({}) },
    },
  };
  const followed = followConfiguration(options, ({ version }) => taken.push(version));
  const write = (value: unknown): void => {
    const revision = engine.range(configurationKey)[0]?.revision ?? 0;
    const written = { key: configurationKey, value: JSON.stringify(value), expectedRevision: revision };
    engine.write({ ...written, leaseId: undefined });
  };
  const writeWave = (wave: number): void => {
    engine.write({ key: `operators/wave-${wave}`, value: "1", expectedRevision: 0, leaseId: undefined });
  };
  const close = (): void => {
    followed.follower.close();
    engine.close();
  };
  return { ...followed, faults, lines, taken, decoded, write, writeWave, close };
}

afterEach(() => {
  vi.useRealTimers();
});

test("an entry that owns no pool does not poll for changes of targets", async () => {
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

test("an entry that takes a pool lists the targets instead of reading all changes since the last read", async () => {
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
  // The owner is notified even if no target has changed.
  expect(onChanged).toHaveBeenCalledTimes(1);
  follower.close();
  engine.close();
});

test("newer versions are applied, older or invalid ones are ignored", async () => {
  const { usable, current, taken, lines, write, close } = startFollower();
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

test("a configuration is unusable while its copy may be too old, and usable again once the store responds", async () => {
  const { usable, current, faults, write, close } = startFollower();
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

test("an invalid configuration leaves the current workspaces in force and is logged once", async () => {
  const { usable, current, lines, write, close } = startFollower();
  write({ version: 4, workspaces: [{ ...north, keys: ["k-1", "k-2"] }] });
  await waitFor(() => usable()?.workspaces?.findByKey("k-1")?.name === "north");
  write({ version: 5, workspaces: [{ ...north, keys: ["k-3"], weight: 0 }] });
  await waitFor(() => lines.some((line) => line.includes("configuration-unreadable")));
  expect(current()?.version).toBe(4);
  expect(current()?.workspaces?.findByKey("k-1")?.name).toBe("north");
  write({ version: 6, workspaces: [{ ...north, keys: ["k-1", "k-3", "k-4"] }] });
  await waitFor(() => usable()?.version === 6);
  for (const version of [7, 8]) {
    write(version);
    await waitFor(() => usable()?.version === version);
  }
  const changes = lines.filter((line) => line.includes("workspaces-changed"));
  expect(changes.map((line) => line.replace(/^.*workspaces-changed /, ""))).toEqual([
    "version=4 workspaces=1 keys=2 came=1 cameNames=north vanished=0 termsChanged=0 keysAdded=2 keysWithdrawn=0",
    "version=6 workspaces=1 keys=3 came=0 vanished=0 termsChanged=0 keysAdded=2 keysWithdrawn=1",
    "version=7 workspaces=0 keys=0 came=0 vanished=1 vanishedNames=north termsChanged=0 keysAdded=0 keysWithdrawn=3",
  ]);
  expect(lines.filter((line) => line.includes("configuration-unreadable"))).toHaveLength(1);
  expect(lines.join()).not.toMatch(/k-\d/);
  close();
});

test("a change of other operators' records does not decode the configuration again", async () => {
  const { usable, decoded, writeWave, write, waves, close } = startFollower();
  write(4);
  await waitFor(() => usable()?.version === 4);
  writeWave(1);
  await waitFor(() => waves().length === 1);
  writeWave(2);
  await waitFor(() => waves().length === 2);
  expect(decoded).toHaveLength(1);
  close();
});
