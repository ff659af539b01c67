/**
 * Pauses between placement rounds when events arrive faster than an owner can handle them.
 * @packageDocumentation
 */
import { expect, test } from "vitest";
import { RoundPace } from "../round-pause.js";

function pauseAfter(...rounds: readonly number[]): number {
  const pace = new RoundPace();
  for (const milliseconds of rounds) pace.recordRound(milliseconds);
  return pace.pauseMilliseconds();
}

test.each([
  { milliseconds: 0.2, share: 0.112 },
  { milliseconds: 3, share: 0.112 },
  { milliseconds: 10, share: 0.15 },
])("rounds of $milliseconds ms take $share of the process at most", ({ milliseconds, share }) => {
  const pause = pauseAfter(milliseconds, milliseconds);
  expect(milliseconds / (milliseconds + pause)).toBeLessThanOrEqual(share);
});

test("the pause is 4 ms after short rounds and never more than 60 ms", () => {
  expect(pauseAfter()).toBe(4);
  expect(pauseAfter(1_000, 1_000)).toBe(60);
});

test("a single interrupted round does not lengthen the pause", () => {
  expect(pauseAfter(0.2, 0.2, 100)).toBe(4);
  expect(pauseAfter(0.2, 0.2, 100, 0.2)).toBe(4);
});
