/**
 * Planner inputs for tests.
 * @packageDocumentation
 */
import fc from "fast-check";
import {
  defaultPlannerLimits,
  type PlanDecision,
  type PlannedInstance,
  type PlannedPool,
  type PlannerInput,
} from "../index.js";

const now = 10_000_000;
const slotsPerInstance = 8;

/** Creates a service pool with the given usual load in erlangs. */
export function createPool(name: string, load: number, changes: Partial<PlannedPool> = {}): PlannedPool {
  const turn = { ratio: 3, seconds: 8 };
  return {
    name,
    spare: false,
    minimumInstances: 2,
    slotsPerInstance,
    objective: 0.999,
    deadlineSeconds: 5,
    demand: { load, recentPeakLoad: load, meanRunSeconds: 0.1, turn },
    spentBudgetShare: 0,
    ...changes,
  };
}

/** The spare pool. */
export const sparePool = createPool("spare", 0, { spare: true, minimumInstances: 0, demand: undefined });

/** Spreads instances of pools over zones and racks of about four; all have served long enough to move. */
export function placeInstances(counts: Readonly<Record<string, number>>, zones = 3): PlannedInstance[] {
  const pools = Object.entries(counts).flatMap(([pool, count]) => new Array<string>(count).fill(pool));
  const racks = Math.ceil(pools.length / zones / 4);
  return pools.map((pool, index) => {
    const zone = `zone-${(index % zones) + 1}`;
    const rack = `${zone}-rack-${Math.floor(index / zones) % racks}`;
    return { instanceId: `target-${index}`, zone, rack, pool, state: "serving", since: 0 };
  });
}

/** Creates an input with the default limits. */
export function createInput(
  pools: readonly PlannedPool[],
  instances: readonly PlannedInstance[],
  changes: Partial<PlannerInput> = {},
): PlannerInput {
  const limits = defaultPlannerLimits;
  return { atMilliseconds: now, pools, instances, drainPlanned: new Set(), limits, ...changes };
}

/** Filters the moves out of decisions. */
export function movesOf(decisions: readonly PlanDecision[]): Extract<PlanDecision, { action: "move" }>[] {
  return decisions.filter((decision) => decision.action === "move");
}

/** Applies all moves of a plan at once. */
export function applyMoves(
  instances: readonly PlannedInstance[],
  decisions: readonly PlanDecision[],
): PlannedInstance[] {
  const targets = new Map(movesOf(decisions).map(({ instanceId, to }) => [instanceId, to]));
  return instances.map((instance) => ({
    ...instance,
    pool: targets.get(instance.instanceId) ?? instance.pool,
  }));
}

/** Generates inputs with two service pools and a spare pool, where some instances are already moving. */
export const arbitraryInput: fc.Arbitrary<PlannerInput> = fc
  .record({
    loads: fc.tuple(fc.double({ min: 0, max: 60, noNaN: true }), fc.double({ min: 0, max: 60, noNaN: true })),
    counts: fc.tuple(
      fc.integer({ min: 2, max: 10 }),
      fc.integer({ min: 2, max: 10 }),
      fc.integer({ min: 0, max: 8 }),
    ),
    moving: fc.integer({ min: 0, max: 4 }),
    zones: fc.integer({ min: 2, max: 4 }),
    known: fc.boolean(),
  })
  .map(({ loads, counts, moving, zones, known }) => {
    const unknown = known ? {} : { demand: undefined };
    const pools = [createPool("quotes", loads[0]), createPool("nesting", loads[1], unknown), sparePool];
    const placed = placeInstances({ quotes: counts[0], nesting: counts[1], spare: counts[2] }, zones);
    const instances = placed.map((instance, index) =>
      index >= placed.length - Math.min(moving, counts[2])
        ? { ...instance, state: "leaving" as const, moveTo: "quotes" }
        : instance,
    );
    return createInput(pools, instances);
  });
