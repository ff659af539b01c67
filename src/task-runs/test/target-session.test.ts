/**
 * A session's estimates of its target's clock and of the requested leases, and its renewals, with fake timers.
 * @packageDocumentation
 */
import { Left, Right } from "purify-ts";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { createMetrics } from "../../telemetry/index.js";
import { TargetSession, type TargetSessionHandlers } from "../target-session.js";
import type { TargetOrders } from "../target-orders.js";

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

const leaseMilliseconds = 6_000;
const clockAtStart = 100_000;

const handlers: TargetSessionHandlers = {
  onReport: () => undefined,
  onLeaseLapsed: () => undefined,
  onGone: () => undefined,
  onFenced: () => undefined,
  isActive: () => true,
  chooseWait: () => 0,
};

const unused = async (): Promise<never> => Promise.reject(new Error("this session sends no such order"));

function createSession(changes: Partial<TargetOrders & TargetSessionHandlers> = {}): TargetSession {
  const orders: TargetOrders = { start: unused, stop: unused, pace: unused, renew: unused, ...changes };
  return new TargetSession({
    target: {
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
    },
    orders,
    formerOrders: "none",
    longestLeaseMilliseconds: 6_000,
    leaseMilliseconds,
    metrics: createMetrics(),
    handlers: { ...handlers, ...changes },
    formerLease: { until: 0, basis: "none" },
  });
}

test("an answer that is read late does not shorten the next requested lease", () => {
  const session = createSession();
  session.noteClock(clockAtStart, performance.now());
  const answeredAt = 1_000;
  const readLateBy = 3_000;
  vi.advanceTimersByTime(answeredAt + readLateBy);
  session.noteClock(clockAtStart + answeredAt, performance.now());
  const clockNow = clockAtStart + answeredAt + readLateBy;
  expect(session.nextLeaseEnd()).toBe(clockNow + leaseMilliseconds);
});

test("a lease counts as lapsed only after it has ended on the slowest clock, even if answers are read late", () => {
  const slowestRate = 0.98;
  const session = createSession();
  const readings = [
    { answeredAt: 0, readAt: 0 },
    { answeredAt: 1_000, readAt: 4_000 },
    { answeredAt: 3_500, readAt: 4_200 },
    { answeredAt: 20_000, readAt: 20_000 },
    { answeredAt: 20_100, readAt: 24_000 },
  ];
  const clock = (at: number): number => clockAtStart + at * slowestRate;
  const startedAt = performance.now();
  for (const { answeredAt, readAt } of readings) {
    vi.advanceTimersByTime(startedAt + readAt - performance.now());
    session.noteClock(clock(answeredAt), performance.now());
    const end = session.nextLeaseEnd() ?? 0;
    const endsAt = startedAt + (end - clockAtStart) / slowestRate;
    expect(session.leaseLapsesAt()).toBeGreaterThanOrEqual(endsAt);
  }
});

test("renewals to a target that has never answered are retried after a pause within the same session", async () => {
  let renewals = 0;
  let gone = 0;
  const session = createSession({
    renew: async () => {
      renewals += 1;
      return Promise.resolve(Left({ kind: "refused", reason: "not-connected" }));
    },
    onLeaseLapsed: () => undefined,
    onGone: () => {
      gone += 1;
    },
  });
  const running = session.run();
  await vi.advanceTimersByTimeAsync(1_500);
  session.close();
  await running;
  expect(gone).toBe(0);
  expect(renewals).toBe(11);
});

test("a target that may have restarted gets no acknowledgement of ends that its former process listed", async () => {
  const acknowledged: number[] = [];
  const end = { sequence: 7, task: "job.0.0.0", run: 1, kind: "succeeded", checkpoint: "" } as const;
  const report = { startedAtUnix: 1, clockMilliseconds: 1, present: [] };
  const answers = [
    Right({ ...report, ends: [end] }),
    Right({ ...report, ends: [] }),
    Right({ ...report, ends: [end] }),
    Left({ kind: "unknown", message: "the connection failed" } as const),
  ];
  const session = createSession({
    renew: async ({ acknowledgedSequence }) => {
      acknowledged.push(acknowledgedSequence);
      const answer = answers.shift();
      return answer === undefined ? new Promise(() => undefined) : Promise.resolve(answer);
    },
    onReport: (reporting) => {
      reporting.acknowledge(end.sequence);
    },
  });
  void session.run();
  await vi.advanceTimersByTimeAsync(1_000);
  session.close();
  expect(acknowledged).toEqual([0, 7, 0, 7, 0]);
});

test("a repeated renewal, which another process may carry out, does not make that process forget its ends", async () => {
  const acknowledged: number[] = [];
  const end = { sequence: 7, task: "job.0.0.0", run: 1, kind: "succeeded", checkpoint: "" } as const;
  const report = Right({ startedAtUnix: 1, clockMilliseconds: 1, present: [], ends: [end] });
  const session = createSession({
    renew: async ({ acknowledgedSequence }) => {
      acknowledged.push(acknowledgedSequence);
      return acknowledged.length === 1 ? Promise.resolve(report) : new Promise(() => undefined);
    },
    onReport: (reporting) => {
      reporting.acknowledge(end.sequence);
    },
  });
  void session.run();
  await vi.advanceTimersByTimeAsync(500);
  session.requestAgain();
  session.close();
  expect(acknowledged).toEqual([0, 7, 0]);
});
