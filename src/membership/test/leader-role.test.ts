/**
 * Leader roles whose holder is slow, paused or disconnected from the store.
 * @packageDocumentation
 */
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { delay } from "../../shared/index.js";
import { createStoreEngine, createStoreFaults, MemoryStoreClient } from "../../stand-ins/store/index.js";
import { createLog } from "../../telemetry/index.js";
import { createLeaderRole, type LeaderRole } from "../index.js";

const log = createLog("silent");
const engine = createStoreEngine();
let leaderRoles: LeaderRole[] = [];

interface Competitor {
  readonly leaderRole: LeaderRole;
  readonly faults: ReturnType<typeof createStoreFaults>;
  /** Whether a step is in progress whose signal has not aborted. */
  isWorking(): boolean;
}

function compete(entryId: string, name: string, stepMilliseconds = 50): Competitor {
  const faults = createStoreFaults();
  const store = new MemoryStoreClient(engine, faults);
  let working: AbortSignal | undefined;
  const leaderRole = createLeaderRole({
    store,
    name,
    entryId,
    log,
    periodMilliseconds: 100,
    step: async (signal) => {
      working = signal;
      await delay(stepMilliseconds, signal);
      working = undefined;
    },
  });
  leaderRoles.push(leaderRole);
  return { leaderRole, faults, isWorking: () => working?.aborted === false };
}

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  for (const leaderRole of leaderRoles) leaderRole.abandon();
  leaderRoles = [];
  vi.restoreAllMocks();
  vi.useRealTimers();
});

test("a step longer than the lease keeps the leader role", async () => {
  const first = compete("a", "long", 20_000);
  await vi.advanceTimersByTimeAsync(100);
  const second = compete("b", "long");
  await vi.advanceTimersByTimeAsync(15_000);
  expect([first.leaderRole.isHeld(), second.leaderRole.isHeld()]).toEqual([true, false]);
});

test("an outage shorter than the lease does not lose the leader role", async () => {
  const first = compete("a", "short");
  await vi.advanceTimersByTimeAsync(1_000);
  first.faults.mode = "down";
  await vi.advanceTimersByTimeAsync(2_500);
  expect(first.leaderRole.isHeld()).toBe(true);
  first.faults.mode = "up";
  await vi.advanceTimersByTimeAsync(10_000);
  expect(first.leaderRole.isHeld()).toBe(true);
});

test("a holder that is disconnected from the store stops before another one starts", async () => {
  const first = compete("a", "cut", 20_000);
  await vi.advanceTimersByTimeAsync(1_000);
  const second = compete("b", "cut");
  first.faults.mode = "down";
  let both = 0;
  for (let waited = 0; waited < 20_000; waited += 50) {
    await vi.advanceTimersByTimeAsync(50);
    if (second.leaderRole.isHeld() && (first.leaderRole.isHeld() || first.isWorking())) both += 1;
  }
  expect([both, first.leaderRole.isHeld(), second.leaderRole.isHeld()]).toEqual([0, false, true]);
});

test("a holder that was paused past its lease no longer holds the role, before any store call", async () => {
  const first = compete("a", "paused");
  await vi.advanceTimersByTimeAsync(1_000);
  expect(first.leaderRole.isHeld()).toBe(true);
  const pausedAt = performance.now();
  vi.spyOn(performance, "now").mockReturnValue(pausedAt + 10_000);
  expect(first.leaderRole.isHeld()).toBe(false);
});

test("after a lost response to the acquisition one entry holds the leader role within a lease", async () => {
  const first = compete("a", "lost");
  first.faults.loseAnswers = 1;
  const second = compete("b", "lost");
  await vi.advanceTimersByTimeAsync(8_000);
  expect([first.leaderRole.isHeld(), second.leaderRole.isHeld()].filter(Boolean)).toHaveLength(1);
});
