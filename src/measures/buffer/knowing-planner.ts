/**
 * A planner that knows the arrivals to come: the lower bound for buffer and moves.
 * @packageDocumentation
 */
import { requireInstances } from "../../capacity/index.js";
import { daySeconds, readUsualLoad, trueTurn } from "./demand.js";
import { minimumInstances, slotsPerInstance, type PoolProfile } from "./deployments.js";
import { createPoolQueue } from "./pool-queue.js";

/** Seconds for which the number of instances stays the same. */
export const intervalSeconds = 600;
/** What one change by an instance costs in the search, in instance-seconds. */
const moveCostSeconds = 900;
const rackReserve = 1;

/**
 * Finds the cheapest number of instances of a pool for each interval: no request is late, an instance may be lost with
 * its rack, and the sum of held instances and moves is the least.
 * @param pool - the pool
 * @param arrivals - all arrivals of the day by second
 * @param most - most instances that a pool may hold
 * @returns instances by interval
 */
export function planKnowing(pool: PoolProfile, arrivals: readonly number[], most: number): number[] {
  const intervals = Math.ceil(arrivals.length / intervalSeconds);
  const needed = Array.from({ length: intervals }, (_, index) => {
    const slice = arrivals.slice(index * intervalSeconds, (index + 1) * intervalSeconds);
    return Math.min(most, Math.max(minimumInstances, findFewest(pool, slice) + rackReserve));
  });
  return findCheapestPath(needed, most);
}

/**
 * Finds the same for a planner that knows the usual load of the whole day and the shape of turns, but not when they
 * come, so that it is ready for one at any time.
 * @param pool - the pool
 * @param most - most instances that a pool may hold
 * @returns instances by interval
 */
export function planKnowingShift(pool: PoolProfile, most: number): number[] {
  const demand = { meanRunSeconds: pool.runSeconds, turn: trueTurn };
  const objective = { ...pool, minimumInstances, slotsPerInstance };
  const needed = Array.from({ length: daySeconds / intervalSeconds }, (_, index) => {
    const starts = [index, index + 1].map((step) => readUsualLoad(pool, step * intervalSeconds));
    return requireInstances(Math.max(...starts), demand, objective).workingInstances + rackReserve;
  });
  return findCheapestPath(
    needed.map((count) => Math.min(most, count)),
    most,
  );
}

function findFewest(pool: PoolProfile, arrivals: readonly number[]): number {
  for (let instances = 1; ; instances += 1) {
    const queue = createPoolQueue(pool);
    for (const count of arrivals) queue.step(count, instances);
    if (queue.counts().late === 0) return instances;
  }
}

interface Step {
  readonly cost: number;
  readonly from: number;
}

function findCheapestPath(needed: readonly number[], most: number): number[] {
  const options = Array.from({ length: most + 1 }, (_, instances) => instances);
  const table: Step[][] = [];
  for (const need of needed) {
    const previous = table.at(-1);
    table.push(
      options.map((instances) => {
        if (instances < need) return { cost: Infinity, from: instances };
        const best = findBestStep(previous, instances);
        return { cost: best.cost + instances * intervalSeconds, from: best.from };
      }),
    );
  }
  return traceBack(table);
}

function findBestStep(previous: readonly Step[] | undefined, instances: number): Step {
  if (previous === undefined) return { cost: 0, from: instances };
  const steps = previous.map(({ cost }, from) => ({
    cost: cost + Math.abs(instances - from) * moveCostSeconds,
    from,
  }));
  return steps.reduce((best, step) => (step.cost < best.cost ? step : best));
}

function traceBack(table: readonly Step[][]): number[] {
  const last = table.at(-1) ?? [];
  let held = last.reduce(
    (best, step, instances) => (step.cost < (last[best]?.cost ?? Infinity) ? instances : best),
    0,
  );
  const path: number[] = [];
  for (const row of table.toReversed()) {
    path.unshift(held);
    held = row[held]?.from ?? held;
  }
  return path;
}
