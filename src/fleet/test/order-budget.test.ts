/**
 * The rate limit for machine orders, on a simulated clock.
 * @packageDocumentation
 */
import { expect, test } from "vitest";
import { createOrderBudget } from "../order-budget.js";

/** Takes all available orders in each step; returns their total. */
function giveAll(ordersPerSecond: number, seconds: number, stepMilliseconds: number): number {
  const budget = createOrderBudget(ordersPerSecond);
  let given = 0;
  for (let now = 0; now <= seconds * 1_000; now += stepMilliseconds) {
    const orders = budget.available(now);
    budget.take(orders);
    given += orders;
  }
  return given;
}

test("a high rate allows more orders than a small fixed number per step", () => {
  expect(giveAll(215, 1, 250)).toBeGreaterThan(160);
});

test("orders stay within the platform's rate for any step length", () => {
  for (const stepMilliseconds of [50, 250, 700]) {
    const given = giveAll(64, 10, stepMilliseconds);
    expect(given).toBeLessThanOrEqual(64 * 10);
    expect(given).toBeGreaterThan(64 * 5);
  }
});

test("a long pause does not allow a burst", () => {
  const budget = createOrderBudget(100);
  budget.take(budget.available(0));
  expect(budget.available(60_000)).toBeLessThanOrEqual(50);
});
