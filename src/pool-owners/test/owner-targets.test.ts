/**
 * When an owner closes its sessions with targets that left the registry, and how long the takeover state lists a target.
 * @packageDocumentation
 */
import { Right } from "purify-ts";
import { expect, test, vi } from "vitest";
import type { RegisteredTarget, RunEnd, TargetOrders } from "../../task-runs/index.js";
import type { OwnerJournal, JournalResult } from "../journal-writes.js";
import { decodeTakeoverState } from "../owner-record.js";
import { addJob } from "../owner-state.js";
import { OwnerTargets } from "../owner-targets.js";
import { createStep, pool, terms, waitFor } from "./owner-fixture.js";
import { createTestState, storedJournal, unusedOrders } from "./state-fixture.js";

const listed: RegisteredTarget = {
  targetId: "target",
  address: "127.0.0.1:1",
  startedAtUnix: 1,
  pool,
  availabilityZone: "zone",
  state: "ready",
  capacity: { cpuMillicores: 1_000, memoryMegabytes: 100, accelerators: 0 },
  rack: undefined,
  labels: [],
  remainingMilliseconds: undefined,
};

test("the session with an unlisted target stays open until the target's run ends are stored", async () => {
  const settles: ((result: JournalResult) => void)[] = [];
  const journal: OwnerJournal = {
    write: (key) => {
      const result = new Promise<JournalResult>((settle) => {
        if (key.startsWith("progress/")) settles.push(settle);
      });
      return { result, withdraw: () => undefined };
    },
    waiting: () => settles.length,
    storedRevision: () => 0,
    flush: async () => Promise.resolve(),
    close: () => undefined,
  };
  const end: RunEnd = { sequence: 1, task: "job.0.0.0", run: 1, kind: "succeeded", checkpoint: "" };
  const unused = async (): Promise<never> =>
    Promise.reject(new Error("unexpected order: this test sends renewals only"));
  const orders: TargetOrders = {
    start: unused,
    stop: unused,
    pace: unused,
    renew: async () => {
      await new Promise((resolve) => setTimeout(resolve, 5));
      return Right({ startedAtUnix: 1, clockMilliseconds: performance.now(), present: [], ends: [end] });
    },
  };
  const state = createTestState({ orders, journal });
  const definition = { spec: "", steps: [createStep()] };
  addJob(state, { jobId: "job", terms, definition, acceptedAt: 0, requestedAt: 0 }, undefined, 0);
  const targets = new OwnerTargets(state, {
    leaseMilliseconds: 6_000,
    longestLeaseMilliseconds: 6_000,
    ownerCount: 1,
  });
  targets.follow(new Map([[listed.targetId, listed]]));
  await waitFor(() => settles.length > 0);
  targets.follow(new Map());
  expect(state.targets.has(listed.targetId)).toBe(true);
  for (const settle of settles) settle("stored");
  await waitFor(() => {
    targets.follow(new Map());
    return !state.targets.has(listed.targetId);
  });
  targets.close();
});

test("a target that another process has replaced stays in the takeover state until that process's leases have surely ended", async () => {
  vi.useFakeTimers();
  const written: string[][] = [];
  const journal: OwnerJournal = {
    ...storedJournal,
    write: (key, value, options) => {
      written.push(Object.keys(decodeTakeoverState(value, 0).targets));
      return storedJournal.write(key, value, options);
    },
  };
  const orders: TargetOrders = {
    ...unusedOrders,
    renew: async () =>
      Promise.resolve(Right({ startedAtUnix: 2, clockMilliseconds: 0, present: [], ends: [] })),
  };
  const longestLeaseMilliseconds = 3_000;
  const targets = new OwnerTargets(createTestState({ orders, journal }), {
    leaseMilliseconds: 1_000,
    longestLeaseMilliseconds,
    ownerCount: 1,
  });
  targets.follow(new Map([[listed.targetId, listed]]));
  await vi.advanceTimersByTimeAsync(0);
  targets.follow(new Map());
  await vi.advanceTimersByTimeAsync(longestLeaseMilliseconds);
  expect(new Set(written.flat())).toEqual(new Set([listed.targetId]));
  expect(written.at(-1)).toEqual([listed.targetId]);
  await vi.advanceTimersByTimeAsync(longestLeaseMilliseconds);
  expect(written.at(-1)).toEqual([]);
  targets.close();
  vi.useRealTimers();
});
