/**
 * Weighted max-min fair division of cores.
 * @packageDocumentation
 */

/** Cores that one workspace requests, with its weight. */
export interface CoreDemand {
  readonly cores: number;
  /** Above 0. */
  readonly weight: number;
}

/**
 * Divides cores by weighted max-min fairness: a demand below its weighted part is met in full, and the rest is divided
 * among the others.
 * @param coreDemands - one demand for each workspace, in any order
 * @param cores - cores to divide
 * @returns the cores for a weight of 1; infinite when all demands can be met
 */
export function divideCores(coreDemands: readonly CoreDemand[], cores: number): number {
  // The demands with the fewest cores for their weight are met first.
  const byDemandPerWeight = [...coreDemands].sort(
    (left, right) => left.cores / left.weight - right.cores / right.weight,
  );
  let remainingWeight = byDemandPerWeight.reduce((sum, { weight }) => sum + weight, 0);
  let remainingCores = cores;
  for (const coreDemand of byDemandPerWeight) {
    const coresForUnitWeight = remainingCores / remainingWeight;
    if (coreDemand.cores > coresForUnitWeight * coreDemand.weight) return coresForUnitWeight;
    remainingCores -= coreDemand.cores;
    remainingWeight -= coreDemand.weight;
  }
  return Number.POSITIVE_INFINITY;
}
