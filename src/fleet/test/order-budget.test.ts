/**
 * Orders for machines against the platform's rate, played without a network.
 * @packageDocumentation
 */
import { expect, test } from "vitest";
import { createOrderBudget } from "../order-budget.js";

/** Gives as many orders as possible in each step; returns how many in all. */
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

test("a large fleet's machines are not held back by a fixed number of orders a step", () => {
  expect(giveAll(215, 1, 250)).toBeGreaterThan(160);
});

test("orders stay under the platform's rate over a few seconds, whatever the step", () => {
  for (const stepMilliseconds of [50, 250, 700]) {
    const given = giveAll(64, 10, stepMilliseconds);
    expect(given).toBeLessThanOrEqual(64 * 10);
    expect(given).toBeGreaterThan(64 * 5);
  }
});

test("a pause does not save up a burst", () => {
  const budget = createOrderBudget(100);
  budget.take(budget.available(0));
  expect(budget.available(60_000)).toBeLessThanOrEqual(50);
});
