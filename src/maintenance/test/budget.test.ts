/**
 * Availability budgets: sliding window, burn rate and the exchange of counts between entries.
 * @packageDocumentation
 */
import { expect, test } from "vitest";
import type { OperatorConfiguration } from "../../configuration/index.js";
import { startThree, closeWorld } from "../../pools/test/fake-entries.js";
import { createAvailabilityBudgets, createBudgetWindow, computeBudget } from "../index.js";

const ended = { service: "quotes", operation: "quote", team: "plants", milliseconds: 10 };
const configuration: OperatorConfiguration = {
  version: 1,
  pools: [],
  teams: [],
  services: [
    {
      name: "quotes",
      pool: "quotes",
      dependsOn: [],
      availability: { objective: 0.9, windowSeconds: 600 },
      deadlineMilliseconds: 1_000,
      operations: [{ name: "quote", idempotent: true, expectedMilliseconds: 10 }],
    },
  ],
};

test("a window drops counts that are older than its length", () => {
  let time = 1_000_000;
  const window = createBudgetWindow(60, () => time);
  for (let count = 0; count < 95; count += 1) window.record(true);
  for (let count = 0; count < 5; count += 1) window.record(false);
  expect(computeBudget(window.counts(), 0.9).left).toBeCloseTo(0.5);
  expect(computeBudget(window.counts(), 0.9).burnRate).toBeCloseTo(0.5);
  time += 10_000;
  expect(computeBudget(window.counts(), 0.9)).toMatchObject({ burnRate: 0 });
  time += 60_000;
  expect(computeBudget(window.counts(), 0.9).left).toBe(1);
});

test("budgets sum the counts of all entries and are undefined before all have reported", async () => {
  const { world, first, second, third } = await startThree();
  const now = (): number => world.time;
  const [own, other, last] = [first, second, third].map(({ peers }) =>
    createAvailabilityBudgets({ peers, text: () => configuration, now }),
  );
  for (let count = 0; count < 9; count += 1) own?.record({ ...ended, outcome: "answered" });
  other?.record({ ...ended, outcome: "answered", milliseconds: 1_001 });
  for (let count = 0; count < 10; count += 1) last?.record({ ...ended, outcome: "answered" });
  expect(own?.read("quotes")).toBeUndefined();
  await own?.refresh();
  expect(own?.read("quotes")?.left).toBeCloseTo(0.5);
  second.state.alive = false;
  await own?.refresh();
  expect(own?.read("quotes")?.left, "a dead entry's counts remain").toBeCloseTo(0.5);
  world.time += 11_000;
  expect(own?.read("quotes"), "counts that are too old").toBeUndefined();
  closeWorld(world);
});
