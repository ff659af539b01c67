/**
 * Tests of learned run times, with random run times that have a tail, and of run times projected from progress.
 * @packageDocumentation
 */
import { expect, test } from "vitest";
import { createRandom, type Random } from "../../shared/index.js";
import { createTaskRunTimes, projectRunTime, timeRun } from "../index.js";

const queue = "quotes";
const usualMilliseconds = 800;
const task = { estimateMilliseconds: usualMilliseconds, taskCount: 1 };

/** Draws run times of which a share is seven times as long as the others. */
function drawTimes(random: Random, count: number, tailShare: number): number[] {
  return Array.from({ length: count }, () => {
    const isTail = random.integer(0, 999) < 1_000 * tailShare;
    return usualMilliseconds * (isTail ? 7 : 1) * (random.integer(700, 1_300) / 1_000);
  });
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

test("progress gives the mean run time of a hundred simultaneous tasks when only the shortest have ended", () => {
  const random = createRandom(11);
  const times = Array.from({ length: 100 }, () => usualMilliseconds * 4 ** (random.integer(-100, 100) / 100));
  const elapsedMilliseconds = 400;
  const byEnds = createTaskRunTimes();
  const byProgress = createTaskRunTimes();
  for (const time of times) {
    if (time <= elapsedMilliseconds) byEnds.learn(queue, task, time);
    const percent = Math.min(100, Math.floor((100 * elapsedMilliseconds) / time));
    const projected = projectRunTime({ elapsedMilliseconds: Math.min(time, elapsedMilliseconds), percent });
    if (projected !== undefined) byProgress.learn(queue, task, projected);
  }
  expect(byEnds.ofQueue(queue).task(task)).toBeLessThan(0.5 * mean(times));
  expect(byProgress.ofQueue(queue).task(task)).toBeGreaterThan(0.85 * mean(times));
  expect(byProgress.ofQueue(queue).task(task)).toBeLessThan(1.15 * mean(times));
});

test.each([0, 0.03, 0.1])(
  "the predicted run time of a step is that of its longest task, with a share of %d in the tail",
  (tailShare) => {
    const random = createRandom(3);
    const runTimes = createTaskRunTimes();
    for (let step = 0; step < 300; step += 1) {
      const times = drawTimes(random, 16, tailShare);
      for (const time of times) runTimes.learn(queue, { ...task, taskCount: 16 }, time);
      runTimes.learnStep(queue, times);
    }
    for (const taskCount of [1, 8, 32]) {
      const longest = Array.from({ length: 400 }, () => Math.max(...drawTimes(random, taskCount, tailShare)));
      const expected = runTimes.ofQueue(queue).step({ ...task, taskCount });
      expect(expected / mean(longest)).toBeGreaterThan(0.75);
      expect(expected / mean(longest)).toBeLessThan(1.25);
    }
  },
);

test("the remaining time of a task grows once it has run longer than most", () => {
  const random = createRandom(5);
  const runTimes = createTaskRunTimes();
  for (const time of drawTimes(random, 2_000, 0.1)) runTimes.learn(queue, task, time);
  const predictions = runTimes.ofQueue(queue);
  expect(predictions.remaining(task, 0)).toBeGreaterThan(usualMilliseconds);
  expect(predictions.remaining(task, 1_500)).toBeGreaterThan(3_000);
  expect(predictions.remaining(task, 30_000)).toBeGreaterThan(1_000);
});

test("invalid progress gives no projection, and no projection is shorter than the elapsed time", () => {
  const project = (percent: number): number | undefined =>
    projectRunTime({ elapsedMilliseconds: 500, percent });
  expect([0, 3, -20, NaN].map(project)).toEqual([undefined, undefined, undefined, undefined]);
  expect([50, 100, 250, Infinity].map(project)).toEqual([1_000, 500, 500, 500]);
  expect(projectRunTime({ elapsedMilliseconds: NaN, percent: 50 })).toBeUndefined();
  expect(projectRunTime({ elapsedMilliseconds: -5, percent: 50 })).toBeUndefined();
});

test("the run time of an end received after a gap is the projection, and undefined without one", () => {
  const received = { receivedAfterMilliseconds: 3_000, reportGapMilliseconds: 2_500 };
  expect(timeRun({ ...received, projectedMilliseconds: 800 })).toBe(800);
  expect(timeRun({ ...received, projectedMilliseconds: 9_000 })).toBe(3_000);
  expect(timeRun({ ...received, projectedMilliseconds: 100 })).toBe(350);
  expect(timeRun({ ...received, projectedMilliseconds: undefined })).toBeUndefined();
  expect(timeRun({ ...received, reportGapMilliseconds: 60, projectedMilliseconds: 800 })).toBe(3_000);
});

test("extreme estimates and run times give finite predictions that are not negative", () => {
  const runTimes = createTaskRunTimes();
  const odd = [
    { estimateMilliseconds: 0, taskCount: 1 },
    { estimateMilliseconds: 36_000_000, taskCount: 10_000 },
    { estimateMilliseconds: 1, taskCount: 0 },
  ];
  for (const step of odd) for (const time of [0, 1, 800, 1e9]) runTimes.learn(queue, step, time);
  runTimes.learnStep(queue, [0, 0]);
  runTimes.learnStep(queue, [1, 1e9]);
  for (const step of odd) {
    const predictions = runTimes.ofQueue(queue);
    for (const time of [
      predictions.task(step),
      predictions.step(step),
      predictions.remaining(step, 0),
      predictions.remaining(step, 1e9),
    ]) {
      expect(Number.isFinite(time)).toBe(true);
      expect(time).toBeGreaterThanOrEqual(0);
    }
  }
});
