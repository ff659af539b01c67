/**
 * Working state of a plan: the instances that each pool will have.
 * @packageDocumentation
 */
import type { PlannedInstance, PlannerInput } from "./plan-messages.js";

/** The instances that each pool will have after the moves planned so far. */
export interface Allocation {
  /** Instances that serve the pool or are on their way to it, including those that the plan moves there. */
  held(pool: string): readonly PlannedInstance[];
  /** Instances that serve the pool and that the plan has not moved, so that they may still be chosen. */
  movable(pool: string): readonly PlannedInstance[];
  /** Adds the move of an instance to the plan. */
  move(instance: PlannedInstance, to: string): void;
  /** Number of further moves that may start under the limit of moves in flight. */
  movesLeft(): number;
}

/**
 * Creates the allocation before any decision.
 * @param input - the instances and the limit of moves in flight
 * @returns the allocation without planned moves; moves under way count as arrived and against the limit
 */
export function createAllocation(input: PlannerInput): Allocation {
  const held = new Map<string, PlannedInstance[]>();
  const moved = new Set<string>();
  const add = (pool: string, instance: PlannedInstance): void => {
    const list = held.get(pool) ?? [];
    list.push(instance);
    held.set(pool, list);
  };
  let inFlight = 0;
  for (const instance of input.instances) {
    if (instance.state === "serving") add(instance.pool, instance);
    if (instance.state !== "leaving" || instance.moveTo === undefined) continue;
    add(instance.moveTo, instance);
    inFlight += 1;
  }
  const listOf = (pool: string): readonly PlannedInstance[] => held.get(pool) ?? [];
  return {
    held: listOf,
    movable: (pool) =>
      listOf(pool).filter(({ instanceId, state }) => state === "serving" && !moved.has(instanceId)),
    move: (instance, to) => {
      held.set(
        instance.pool,
        listOf(instance.pool).filter((other) => other !== instance),
      );
      add(to, instance);
      moved.add(instance.instanceId);
      inFlight += 1;
    },
    movesLeft: () => Math.max(0, input.limits.maximumMovesInFlight - inFlight),
  };
}

/**
 * Counts instances by rack or zone.
 * @param instances - the instances
 * @param domain - the kind of failure domain
 * @returns the count by name of the rack or zone
 */
export function countByDomain(
  instances: readonly PlannedInstance[],
  domain: "rack" | "zone",
): Map<string, number> {
  const counts = new Map<string, number>();
  for (const instance of instances) counts.set(instance[domain], (counts.get(instance[domain]) ?? 0) + 1);
  return counts;
}

/**
 * Counts the instances in the fullest rack or zone, which is the largest loss from a single failure.
 * @param instances - instances of a pool
 * @param domain - the kind of failure domain
 * @returns the largest count; 0 without instances
 */
export function largestDomain(instances: readonly PlannedInstance[], domain: "rack" | "zone"): number {
  return Math.max(0, ...countByDomain(instances, domain).values());
}
