/**
 * Measurement `buffer`: idle instance-hours, budgets and moves of a day under the real planner, compared with a fixed
 * split and with a planner that knows the demand to come.
 * @packageDocumentation
 */
import { createRandom } from "../../shared/index.js";
import type { Figure, Measure } from "../measure.js";
import { daySeconds, drawArrivals } from "./demand.js";
import { deployments, type Deployment } from "./deployments.js";
import { intervalSeconds, planKnowing, planKnowingShift } from "./knowing-planner.js";
import { runDay, type DayResult } from "./planned-day.js";

const hourSeconds = 3_600;
const mostInstances = 16;

/** Buffer cost, budgets and moves of both deployments. */
export const buffer: Measure = {
  name: "buffer",
  description: "idle instance-hours, budgets kept and moves of a day under the planner",
  run: async (seed) => {
    await Promise.resolve();
    return deployments.flatMap((deployment) => measureDeployment(deployment, seed));
  },
};

function measureDeployment(deployment: Deployment, seed: number): Figure[] {
  const random = createRandom(seed);
  const arrivals = deployment.pools.map((pool) => drawArrivals(pool, random));
  const rackLostAtSeconds = random.integer(hourSeconds, daySeconds - hourSeconds);
  const run = (planned: boolean): DayResult =>
    runDay({ deployment, arrivals, planned, random: createRandom(seed), rackLostAtSeconds });
  const planned = run(true);
  const fixed = run(false);
  const known = deployment.pools.map((pool, index) =>
    planKnowing(pool, arrivals[index] ?? [], mostInstances),
  );
  const knownShift = deployment.pools.map((pool) => planKnowingShift(pool, mostInstances));
  return describeDay(deployment.name, { planned, fixed, known, knownShift });
}

interface Compared {
  readonly planned: DayResult;
  readonly fixed: DayResult;
  /** Instances by pool and interval. */
  readonly known: readonly number[][];
  readonly knownShift: readonly number[][];
}

function describeDay(name: string, { planned, fixed, known, knownShift }: Compared): Figure[] {
  const idle = (held: number): number => (held - planned.busySeconds) / hourSeconds;
  const serving = idle(planned.heldSeconds);
  const whole = idle(planned.heldSeconds + planned.reserveSeconds);
  const fixedWhole = idle(fixed.heldSeconds + fixed.reserveSeconds);
  const hours = "idle instance-hours";
  return [
    {
      name: `${name}, buffer in the service pools against the knowing planner`,
      value: serving,
      unit: hours,
      baseline: idle(sum(known.flat()) * intervalSeconds),
      target: "ratio at most 1.15",
    },
    {
      name: `${name}, buffer in the service pools against a planner that knows all but the moments of turns`,
      value: serving,
      unit: hours,
      baseline: idle(sum(knownShift.flat()) * intervalSeconds),
    },
    {
      name: `${name}, buffer with spare reserve against the fixed split`,
      value: whole,
      unit: hours,
      baseline: fixedWhole,
      target: "ratio under 0.5",
    },
    {
      name: `${name}, buffer in the service pools against the fixed split without its spare pool`,
      value: serving,
      unit: hours,
      baseline: idle(fixed.heldSeconds),
    },
    { name: `${name}, spare reserve`, value: planned.reserveSeconds / hourSeconds, unit: "instance-hours" },
    {
      name: `${name}, pool-hours that missed their objective`,
      value: planned.missedWindows,
      unit: "pool-hours",
      target: "0",
    },
    { name: `${name}, the same under the fixed split`, value: fixed.missedWindows, unit: "pool-hours" },
    { name: `${name}, requests in time`, value: 1 - planned.late / planned.requests, unit: "share" },
    {
      name: `${name}, moves against the knowing planner`,
      value: planned.moves,
      unit: "moves",
      baseline: countMoves(known),
      target: "ratio at most 2",
    },
  ];
}

/** Counts an instance that one pool gives up and another takes in the same interval as one move. */
function countMoves(known: readonly number[][]): number {
  const changes = (known[0] ?? []).map((_, index) =>
    known.map((path) => (index === 0 ? 0 : (path[index] ?? 0) - (path[index - 1] ?? 0))),
  );
  return sum(
    changes.map((each) =>
      Math.max(sum(each.map((by) => Math.max(0, by))), sum(each.map((by) => Math.max(0, -by)))),
    ),
  );
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
