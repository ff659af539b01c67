/**
 * How long a next home waits for targets that do not answer.
 * @packageDocumentation
 */
import { expect, test } from "vitest";
import { inheritedLeaseMilliseconds } from "../home-takeover.js";

test("the wait covers the longest lease on the slowest clock, and is over within two seconds of that", () => {
  const runLease = 5_900;
  const longest = runLease / 0.98;
  expect(inheritedLeaseMilliseconds(runLease)).toBeGreaterThanOrEqual(longest);
  // Lasting tasks have to run again within seconds, so that no further time may be added to a lease.
  expect(inheritedLeaseMilliseconds(runLease)).toBeLessThan(longest + 2_000);
});
