/**
 * The instances of each pool while a plan is drawn up.
 * @packageDocumentation
 */
import type { PlannedInstance, PlannerInput } from "./plan-messages.js";

/** Which instances each pool will have, changed by the moves of the plan. */
export interface Allocation {
  /** Instances that serve the pool or are on their way to it. */
  held(pool: string): readonly PlannedInstance[];
  /** Instances that serve the pool and that the plan has not moved. */
  movable(pool: string): readonly PlannedInstance[];
  /** Moves an instance in the plan. */
  move(instance: PlannedInstance, to: string): void;
  /** How many more moves may start. */
  movesLeft(): number;
}

/**
 * Creates the allocation before any decision.
 * @param input - instances and the bound on moves
 * @returns the allocation
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
 * @param domain - which failure domain
 * @returns the count of each domain
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
 * Counts the instances that the loss of the fullest rack or zone takes.
 * @param instances - instances of a pool
 * @param domain - which failure domain
 * @returns the largest count, 0 without instances
 */
export function largestDomain(instances: readonly PlannedInstance[], domain: "rack" | "zone"): number {
  return Math.max(0, ...countByDomain(instances, domain).values());
}
