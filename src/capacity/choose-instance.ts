/**
 * Chooses the instance to move: the one that spreads pools best over racks and zones and causes the fewest extra drains.
 * @packageDocumentation
 */
import { countByDomain } from "./allocation.js";
import type { PlannedInstance } from "./plan-messages.js";

/** Input of a choice. */
export interface Choice {
  readonly candidates: readonly PlannedInstance[];
  /** All instances of the pool that gives an instance. */
  readonly source: readonly PlannedInstance[];
  /** All instances of the pool that receives it. */
  readonly destination: readonly PlannedInstance[];
  /** Identifiers of instances that a maintenance wave will drain soon. */
  readonly drainPlanned: ReadonlySet<string>;
  /**
   * Whether the destination needs the instance now. If so, an instance that will be drained soon is avoided; otherwise it is
   * preferred.
   */
  readonly urgent: boolean;
}

/**
 * Chooses an instance; equal candidates are ordered by identifier, so that the choice is deterministic.
 * @param choice - the candidates and the instances of both pools
 * @returns the instance; undefined without candidates
 */
export function chooseInstance(choice: Choice): PlannedInstance | undefined {
  const destinationRacks = countByDomain(choice.destination, "rack");
  const destinationZones = countByDomain(choice.destination, "zone");
  const sourceRacks = countByDomain(choice.source, "rack");
  const sourceZones = countByDomain(choice.source, "zone");
  const rank = (instance: PlannedInstance): number[] => {
    const drained = choice.drainPlanned.has(instance.instanceId) ? 1 : 0;
    const leaves = [-(sourceRacks.get(instance.rack) ?? 0), -(sourceZones.get(instance.zone) ?? 0)];
    const joins = [destinationRacks.get(instance.rack) ?? 0, destinationZones.get(instance.zone) ?? 0];
    return choice.urgent ? [...joins, drained, ...leaves] : [-drained, ...leaves, ...joins];
  };
  const ranked = choice.candidates.map((instance) => ({ instance, rank: rank(instance) }));
  ranked.sort(
    (left, right) =>
      compareRanks(left.rank, right.rank) || (left.instance.instanceId < right.instance.instanceId ? -1 : 1),
  );
  return ranked[0]?.instance;
}

function compareRanks(left: readonly number[], right: readonly number[]): number {
  const index = left.findIndex((value, position) => value !== right[position]);
  return index < 0 ? 0 : (left[index] ?? 0) - (right[index] ?? 0);
}
