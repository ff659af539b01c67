/**
 * Max-min division by weight.
 * @packageDocumentation
 */

/** Who asks for cores. */
export interface CoreDemand {
  readonly cores: number;
  /** Above 0. */
  readonly weight: number;
}

/**
 * Divides cores by weight: who asks for less than its part leaves the rest to the others.
 * @param coreDemands - who asks
 * @param cores - what there is
 * @returns the part of a weight of 1; infinite where there is enough for all
 */
export function divideCores(coreDemands: readonly CoreDemand[], cores: number): number {
  // Those that ask for least against their weight are content first.
  const byNeed = [...coreDemands].sort(
    (left, right) => left.cores / left.weight - right.cores / right.weight,
  );
  let weights = byNeed.reduce((sum, { weight }) => sum + weight, 0);
  let left = cores;
  for (const coreDemand of byNeed) {
    const part = left / weights;
    if (coreDemand.cores > part * coreDemand.weight) return part;
    left -= coreDemand.cores;
    weights -= coreDemand.weight;
  }
  return Number.POSITIVE_INFINITY;
}
