/**
 * What the spare pool must hold so that the usual load survives the loss of any availability zone.
 * @packageDocumentation
 */
import { countByDomain } from "./allocation.js";
import type { PlannedInstance } from "./plan-messages.js";

/** A pool's instances and what its usual load needs. */
export interface PoolLoad {
  readonly held: readonly PlannedInstance[];
  readonly steadyInstances: number;
}

/** The reserve for the zone whose loss is the worst. */
export interface SpareReserve {
  readonly zone: string;
  /** Spare instances needed in the other zones. */
  readonly required: number;
  /** Whether the spare pool has them there. */
  readonly covered: boolean;
}

/**
 * Finds the reserve.
 * @param pools - pools with their needs
 * @param spare - instances of the spare pool
 * @returns the reserve for the worst zone
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

function countMissing({ held, steadyInstances }: PoolLoad, zone: string): number {
  const left = held.filter((instance) => instance.zone !== zone).length;
  return Math.max(0, steadyInstances - left);
}
