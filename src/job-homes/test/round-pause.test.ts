/**
 * Rounds of placing under more news than a home can decide on.
 * @packageDocumentation
 */
import { expect, test } from "vitest";
import { chooseRoundPause } from "../round-pause.js";

test.each([
  { milliseconds: 0.2, share: 0.112 },
  { milliseconds: 3, share: 0.112 },
  { milliseconds: 10, share: 0.15 },
])("rounds of $milliseconds ms take $share of the process at most", ({ milliseconds, share }) => {
  const pause = chooseRoundPause(milliseconds);
  expect(milliseconds / (milliseconds + pause)).toBeLessThanOrEqual(share);
});

test("news of a quiet home waits 4 ms, and never more than 60", () => {
  expect(chooseRoundPause(0)).toBe(4);
  expect(chooseRoundPause(1_000)).toBe(60);
});
