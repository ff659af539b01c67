/**
 * How often a target is asked, by what it reports.
 * @packageDocumentation
 */
import { Right } from "purify-ts";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { createMetrics } from "../../telemetry/index.js";
import { TargetSession, type RegisteredTarget, type RunEnd, type TargetOrders } from "../index.js";

const target: RegisteredTarget = {
  targetId: "target",
  address: "127.0.0.1:1",
  startedAtUnix: 1,
  pool: "presses",
  availabilityZone: "zone",
  state: "ready",
  capacity: { cpuMillicores: 0, memoryMegabytes: 0, accelerators: 0 },
  rack: undefined,
  labels: [],
  remainingMilliseconds: undefined,
};

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

/** Runs a session with a target of which a task ends each so many milliseconds; returns how often it was asked. */
async function countRenewals(endEachMilliseconds: number, milliseconds: number): Promise<number> {
  let renewals = 0;
  const startedAt = performance.now();
  const ended = (): number => Math.floor((performance.now() - startedAt) / endEachMilliseconds);
  const unused = async (): Promise<never> => Promise.reject(new Error("only renewals are asked for here"));
  const orders: TargetOrders = {
    start: unused,
    stop: unused,
    pace: unused,
    renew: async ({ acknowledgedSequence, waitMilliseconds }) => {
      renewals += 1;
      const until = performance.now() + waitMilliseconds;
      while (ended() <= acknowledgedSequence && performance.now() < until)
        await new Promise((resolve) => setTimeout(resolve, 1));
      const ends = Array.from({ length: ended() - acknowledgedSequence }, (_, index): RunEnd => {
        const sequence = acknowledgedSequence + index + 1;
        return { sequence, task: `job.0.0.${sequence}`, run: 1, kind: "succeeded", checkpoint: "" };
      });
      return Right({ startedAtUnix: 1, clockMilliseconds: performance.now(), present: [], ends });
    },
  };
  const session = new TargetSession({
    target,
    orders,
    fencingToken: 1,
    leaseMilliseconds: 5_000,
    metrics: createMetrics(),
    handlers: {
      onReport: (reporting, { ends }) => {
        for (const { sequence } of ends) reporting.acknowledge(sequence);
      },
      onGone: () => undefined,
      onFenced: () => undefined,
      isActive: () => true,
      chooseWait: () => 1_000,
    },
    formerLeaseUntil: 0,
  });
  const running = session.run();
  await vi.advanceTimersByTimeAsync(milliseconds);
  session.close();
  await vi.runAllTimersAsync();
  await running;
  return renewals;
}

test("a target whose tasks end all the time is asked some sixteen times a second and not forty", async () => {
  expect(await countRenewals(5, 2_000)).toBeLessThanOrEqual(45);
});

test("a target of which few tasks end is asked for each of them at once", async () => {
  expect(await countRenewals(200, 1_100)).toBeGreaterThanOrEqual(5);
});
