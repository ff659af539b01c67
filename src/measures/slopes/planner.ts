/**
 * Slopes of the planner: processor time of one plan by instances, with a pool for every 413 of them.
 * @packageDocumentation
 */
import {
  defaultPlannerLimits,
  planMoves,
  type PlannedInstance,
  type PlannedPool,
  type PlannerInput,
} from "../../capacity/index.js";
import type { Figure } from "../measure.js";
import { measureProcessorTime } from "./cost.js";
import { describeSeries, type Point } from "./fit.js";

const sizes = [500, 2_000, 8_000, 19_000] as const;
const instancesPerPool = 413;
const zones = 17;
const rackSize = 4;
const plans = 10;
const loadPerInstance = 3;
const settledSince = 0;
const now = 10_000_000;

/**
 * Measures plans at several sizes.
 * @returns the figures
 */
export async function measurePlannerSlopes(): Promise<Figure[]> {
  const points: Point[] = [];
  for (const size of sizes) {
    const input = createInput(size);
    points.push({ size, cost: await measureProcessorTime(plans, () => void planMoves(input)) });
  }
  return describeSeries({ name: "planner, processor time of a plan", unit: "µs", per: "instance" }, points);
}

function createInput(size: number): PlannerInput {
  const services = Math.max(1, Math.round(size / instancesPerPool) - 1);
  const names = [...Array.from({ length: services }, (_, index) => `pool-${index}`), "spare"];
  const load = (size / names.length) * loadPerInstance;
  return {
    atMilliseconds: now,
    pools: names.map((name) => createPool(name, load)),
    instances: Array.from({ length: size }, (_, index) => createInstance(index, names)),
    drainPlanned: new Set(),
    limits: defaultPlannerLimits,
  };
}

function createPool(name: string, load: number): PlannedPool {
  const spare = name === "spare";
  return {
    name,
    spare,
    minimumInstances: 2,
    slotsPerInstance: 8,
    objective: 0.999,
    deadlineSeconds: 5,
    demand: spare
      ? undefined
      : { load, recentPeakLoad: load, meanRunSeconds: 0.1, turn: { ratio: 3, seconds: 8 } },
    spentBudgetShare: 0,
  };
}

function createInstance(index: number, pools: readonly string[]): PlannedInstance {
  const zone = `zone-${(index % zones) + 1}`;
  return {
    instanceId: `target-${index}`,
    zone,
    rack: `${zone}-rack-${Math.floor(index / zones / rackSize)}`,
    pool: pools[index % pools.length] ?? "spare",
    state: "serving",
    since: settledSince,
  };
}
