/**
 * Which instance moves: the one that spreads pools best over racks and zones and costs the least extra drains.
 * @packageDocumentation
 */
import { countByDomain } from "./allocation.js";
import type { PlannedInstance } from "./plan-messages.js";

/** What a choice depends on. */
export interface Choice {
  readonly candidates: readonly PlannedInstance[];
  /** Instances that stay behind or will be neighbours, by the pool they count for. */
  readonly source: readonly PlannedInstance[];
  readonly destination: readonly PlannedInstance[];
  readonly drainPlanned: ReadonlySet<string>;
  /** Whether the destination waits for the instance, so that one about to be drained comes last. */
  readonly urgent: boolean;
}

/**
 * Chooses an instance.
 * @param choice - candidates and their neighbours
 * @returns the instance, or undefined without candidates
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
