/**
 * `Pause`: waits that end after their time or early, and wake-ups between two waits.
 * @packageDocumentation
 */
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { Pause } from "../index.js";

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

test("a pause lasts its time or until it is ended", async () => {
  const pause = new Pause();
  const ended: string[] = [];
  void pause.wait(100).then(() => ended.push("first"));
  await vi.advanceTimersByTimeAsync(99);
  expect(ended).toEqual([]);
  await vi.advanceTimersByTimeAsync(1);
  expect(ended).toEqual(["first"]);
  void pause.wait(100).then(() => ended.push("second"));
  pause.end();
  await vi.advanceTimersByTimeAsync(0);
  expect(ended).toEqual(["first", "second"]);
  expect(vi.getTimerCount()).toBe(0);
});

test("an end between two waits ends the next wait at once", async () => {
  const pause = new Pause();
  pause.end();
  let isOver = false;
  void pause.wait(100).then(() => (isOver = true));
  await vi.advanceTimersByTimeAsync(0);
  expect(isOver).toBe(true);
  isOver = false;
  void pause.wait(100).then(() => (isOver = true));
  await vi.advanceTimersByTimeAsync(99);
  expect(isOver).toBe(false);
});
