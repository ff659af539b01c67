/**
 * Tests the text format of entry costs.
 * @packageDocumentation
 */
import { expect, test } from "vitest";
import { formatEntryCosts, type EntryCost } from "../entry-cost.js";

const cost = (entryId: string, role: EntryCost["role"], processorMilliseconds: number): EntryCost => ({
  entryId,
  processId: 1,
  role,
  span: "rest",
  processorMilliseconds,
  wakeUps: 10,
  counts: new Map([['dogwoodhoist_store_calls_total{call="watch"}', 3]]),
});

test("costs are formatted as the mean, minimum and maximum of the entries of one role", () => {
  const text = formatEntryCosts([cost("a", "neither", 4), cost("b", "neither", 8), cost("c", "owner", 30)]);

  expect(text).toContain("rest neither entries=2 processor=6.00 ms (4.00 to 8.00)");
  expect(text).toContain('store_calls_total{call="watch"} 3.00');
});
