/**
 * Tests that each check finds an injected violation and accepts what the rules allow.
 * @packageDocumentation
 */
import { expect, test } from "vitest";
import type { WaveRecord } from "../history.js";
import {
  brokenPromises,
  endOfHistory,
  fault,
  finish,
  firstTask,
  historyOf,
  jobId,
  maintain,
  request,
  run,
  secondTask,
} from "./history-builder.js";

test("a job with regular runs breaks no promise", () => {
  const history = historyOf();
  finish(history);
  expect(brokenPromises(history)).toEqual([]);
});

test("overlapping runs of a task are a violation", () => {
  const history = historyOf();
  run(history, { task: firstTask, from: 1_050, to: 1_150, how: "stopped" });
  finish(history, { run: 2 });
  expect(brokenPromises(history)).toEqual(["one-run-at-a-time"]);
});

test("a start after a success is a violation once the success was acknowledged", () => {
  const history = historyOf();
  finish(history);
  run(history, { task: firstTask, from: 3_000, run: 2 });
  expect(brokenPromises(history)).toEqual([]);
  for (const each of history.runs) each.acknowledgedAt = 5_000;
  expect(brokenPromises(history)).toEqual(["no-start-after-acknowledged-success"]);
});

test("a start after the last failed attempt is a violation", () => {
  const history = historyOf();
  run(history, { task: firstTask, from: 1_100, run: 1, how: "failed", acknowledgedAt: 1_250 });
  run(history, { task: firstTask, from: 1_300, run: 2, how: "failed", acknowledgedAt: 1_450 });
  request(history, { sentAt: 1_600, state: "failed" });
  expect(brokenPromises(history)).toEqual([]);
  run(history, { task: firstTask, from: 1_500, run: 3, how: "failed" });
  expect(brokenPromises(history)).toEqual(["no-start-after-last-attempt"]);
});

test("a start before the earlier step has succeeded is a violation", () => {
  const history = historyOf();
  run(history, { task: firstTask, from: 1_100 });
  run(history, { task: secondTask, from: 1_150 });
  request(history, { state: "complete" });
  expect(brokenPromises(history)).toEqual(["earlier-steps-first"]);
});

test("a run in another pool is a violation", () => {
  const history = historyOf();
  finish(history, { pool: "pool-2" });
  expect(brokenPromises(history)).toEqual(["right-pool"]);
});

test("a start with a lower fencing token is a violation unless its order was carried out late", () => {
  const history = historyOf();
  run(history, { task: firstTask, from: 1_000, to: 1_050, how: "stopped", fencingToken: 9 });
  finish(history, { run: 2 });
  expect(brokenPromises(history)).toEqual(["fenced-starts"]);
  history.lateRuns.add(`${firstTask}#2`);
  expect(brokenPromises(history)).toEqual([]);
});

test("a run of a refused job is a violation; a submission without a response is no refusal", () => {
  const history = historyOf({ isAccepted: false });
  request(history, { kind: "submit", sentAt: 500, status: 503 });
  run(history, { task: firstTask, from: 1_000 });
  expect(brokenPromises(history)).toEqual(["refused-never-runs"]);
  request(history, { kind: "submit", sentAt: 700, status: 0, end: "cut" });
  expect(brokenPromises(history)).toEqual([]);
});

test("a cancelled job must not start, and must stop within a span without faults", () => {
  const started = historyOf();
  request(started, { kind: "cancel", sentAt: 1_500 });
  run(started, { task: firstTask, from: 6_000 });
  expect(brokenPromises(started)).toEqual(["cancelled-stops"]);
  const running = historyOf();
  request(running, { kind: "cancel", sentAt: 1_500 });
  run(running, { task: firstTask, from: 1_200, to: 9_000, how: "stopped" });
  expect(brokenPromises(running)).toEqual(["cancelled-stops"]);
  fault(running, 1_000, 8_500);
  expect(brokenPromises(running)).toEqual([]);
});

test("a start on a draining target is a violation", () => {
  const history = historyOf();
  finish(history);
  history.drains.push({ targetId: "target-1", at: 1_000 });
  expect(brokenPromises(history)).toEqual([]);
  run(history, { task: `${jobId}.0.0.1`, from: 4_000 });
  expect(brokenPromises(history)).toEqual(["no-start-on-draining"]);
});

test("an accepted job that an entry doesn't find is a violation while no fault is active", () => {
  const history = historyOf();
  finish(history);
  history.requests.pop();
  request(history, { sentAt: 5_000, status: 410 });
  request(history, { sentAt: 9_000, state: "complete" });
  expect(brokenPromises(history)).toEqual(["accepted-is-known"]);
  fault(history, 4_000, 4_500);
  expect(brokenPromises(history)).toEqual([]);
});

test("an accepted job without any state after the faults is a violation", () => {
  const history = historyOf();
  run(history, { task: firstTask, from: 1_100, to: undefined, how: undefined });
  request(history, { sentAt: 90_000, status: 503 });
  expect(brokenPromises(history)).toEqual(["accepted-is-answered-at-the-end"]);
});

test("an accepted job that never ends is a violation while its pool has free capacity", () => {
  const history = historyOf();
  request(history, { sentAt: 90_000, state: "queued" });
  expect(brokenPromises(history)).toEqual(["accepted-ends"]);
  fault(history, 70_000, endOfHistory - 10_000);
  expect(brokenPromises(history)).toEqual([]);
  history.faults.pop();
  history.samples.push({
    at: endOfHistory - 100,
    pool: "pool-1",
    totalMillicores: 8_000,
    usedMillicores: 7_000,
    largestFreeMillicores: 1_000,
  });
  expect(brokenPromises(history)).toEqual([]);
});

test("the state complete is a violation before all tasks have succeeded", () => {
  const history = historyOf();
  run(history, { task: firstTask, from: 1_100 });
  request(history, { state: "complete" });
  expect(brokenPromises(history)).toEqual(["complete-is-true"]);
});

test("the states failed and cancelled without a cause are violations", () => {
  const failed = historyOf();
  run(failed, { task: firstTask, from: 1_100, how: "failed" });
  request(failed, { state: "failed" });
  expect(brokenPromises(failed)).toEqual(["end-has-cause"]);
  const cancelled = historyOf();
  request(cancelled, { state: "cancelled" });
  expect(brokenPromises(cancelled)).toEqual(["end-has-cause"]);
});

test("a final state that changes is a violation", () => {
  const history = historyOf();
  finish(history);
  request(history, { sentAt: 4_000, state: "active" });
  expect(brokenPromises(history)).toEqual(["final-state-stays"]);
});

test("an active state after a confirmed cancellation is a violation", () => {
  const history = historyOf();
  request(history, { kind: "cancel", sentAt: 1_500 });
  request(history, { sentAt: 9_000, state: "active" });
  expect(brokenPromises(history)).toEqual(["cancellation-shows"]);
});

test("a request without a response is a violation while no fault is active", () => {
  const history = historyOf();
  finish(history);
  request(history, { sentAt: 4_000, endedAt: 7_500, end: "silent", status: 0 });
  expect(brokenPromises(history)).toEqual(["answered-in-time"]);
  fault(history, 5_000, 5_100);
  expect(brokenPromises(history)).toEqual([]);
});

test("a request whose connection is closed by a stop is a violation unless an unplanned fault is active", () => {
  const history = historyOf();
  finish(history);
  history.processes.push({ entryId: "entry-1", kind: "stop-asked", at: 4_000, isExpected: true });
  fault(history, 4_000, 6_000, true);
  request(history, { sentAt: 3_900, endedAt: 4_500, end: "cut", status: 0 });
  expect(brokenPromises(history)).toEqual(["answered-while-stopping"]);
  fault(history, 4_100, 4_200);
  expect(brokenPromises(history)).toEqual([]);
});

test("a response that a configured queue doesn't exist is a violation", () => {
  const history = historyOf();
  finish(history);
  request(history, { sentAt: 3_000, kind: "submit", status: 404 });
  expect(brokenPromises(history)).toEqual(["queues-are-found"]);
});

test("a long-running task that doesn't run again is a violation unless a fault was active", () => {
  const history = historyOf({ isLasting: true });
  request(history, { sentAt: 90_000, state: "active" });
  run(history, { task: firstTask, from: 1_200, to: 20_000, how: "stopped" });
  run(history, { task: firstTask, from: 35_000, to: undefined, how: undefined, run: 2 });
  expect(brokenPromises(history)).toEqual(["lasting-runs-again"]);
  fault(history, 20_000, 31_000);
  expect(brokenPromises(history)).toEqual([]);
});

test("more machines down than a wave allows, or a wave reported as complete too early, are violations", () => {
  const history = historyOf();
  finish(history);
  const wave: WaveRecord = {
    wave: 1,
    machineIds: ["machine-1", "machine-2"],
    maximumDown: 1,
    completeAt: undefined,
  };
  history.waves.push(wave);
  maintain(history, {});
  maintain(history, { machineId: "machine-2", from: 8_000, to: 9_000 });
  expect(brokenPromises(history)).toEqual([]);
  wave.completeAt = 7_500;
  expect(brokenPromises(history)).toEqual(["wave-complete-is-true"]);
  wave.completeAt = undefined;
  maintain(history, { machineId: "machine-3", from: 8_500, to: 9_500 });
  expect(brokenPromises(history)).toEqual(["wave-bound"]);
});

test("orders for a machine by two holders with one fencing token, or with a lower token, are violations", () => {
  const history = historyOf();
  finish(history);
  const move = { kind: "move", pool: "pool-2", wave: 0 } as const;
  maintain(history, { ...move, from: 5_000 });
  maintain(history, { ...move, from: 8_000, holder: "entry-2", fencingToken: 4 });
  expect(brokenPromises(history)).toEqual([]);
  maintain(history, { ...move, from: 9_000, holder: "entry-1", fencingToken: 4 });
  expect(brokenPromises(history)).toEqual(["one-holder"]);
});

test("a process that exits by itself or exceeds its grace period is a violation", () => {
  const history = historyOf();
  finish(history);
  history.processes.push({ entryId: "entry-1", kind: "exited", at: 4_000, isExpected: true });
  expect(brokenPromises(history)).toEqual([]);
  history.processes.push({ entryId: "entry-2", kind: "exited", at: 5_000, isExpected: false });
  expect(brokenPromises(history)).toEqual(["processes-stay"]);
  history.processes.push({ entryId: "entry-3", kind: "grace-over", at: 30_000, isExpected: true });
  expect(brokenPromises(history)).toEqual(["processes-stay", "stops-in-time"]);
});
