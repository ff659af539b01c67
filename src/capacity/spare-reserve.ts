/**
 * Computes the instances that the spare pool must hold so that the pools can carry their usual load after the loss of any
 * availability zone.
 * @packageDocumentation
 */
import { countByDomain } from "./allocation.js";
import type { PlannedInstance } from "./plan-messages.js";

/** The instances of a pool and the number that its usual load needs. */
export interface PoolLoad {
  readonly held: readonly PlannedInstance[];
  readonly steadyInstances: number;
}

/** The reserve for the zone whose loss would leave the largest shortage. */
export interface SpareReserve {
  readonly zone: string;
  /** Spare instances needed in the other zones. */
  readonly required: number;
  /** Whether the spare pool has that many instances in the other zones. */
  readonly covered: boolean;
}

/**
 * Finds the reserve for the worst zone.
 * @param pools - the service pools with their needs
 * @param spare - instances of the spare pool
 * @returns the reserve; its zone is "none" if there are no instances
 */
export function findSpareReserve(
  pools: readonly PoolLoad[],
  spare: readonly PlannedInstance[],
): SpareReserve {
  const instances = [...pools.flatMap(({ held }) => held), ...spare];
  const spareByZone = countByDomain(spare, "zone");
  const reserves = [...countByDomain(instances, "zone").keys()].sort().map((zone) => {
    const required = pools.reduce((sum, pool) => sum + countMissing(pool, zone), 0);
    const available = spare.length - (spareByZone.get(zone) ?? 0);
    return { zone, required, missing: required - available };
  });
  const worst = reserves.toSorted((left, right) => right.missing - left.missing)[0];
  if (worst === undefined) return { zone: "none", required: 0, covered: true };
  return { zone: worst.zone, required: worst.required, covered: worst.missing <= 0 };
}

/** Counts the instances that a pool would lack for its usual load without the zone. */
function countMissing({ held, steadyInstances }: PoolLoad, zone: string): number {
  const left = held.filter((instance) => instance.zone !== zone).length;
  return Math.max(0, steadyInstances - left);
}
