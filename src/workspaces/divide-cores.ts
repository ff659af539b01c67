/**
 * Max-min division by weight.
 * @packageDocumentation
 */

/** Who asks for cores. */
export interface Asker {
  readonly cores: number;
  /** Above 0. */
  readonly weight: number;
}

/**
 * Divides cores by weight: who asks for less than its part leaves the rest to the others.
 * @param askers - who asks
 * @param cores - what there is
 * @returns the part of a weight of 1; infinite where there is enough for all
 */
export function divideCores(askers: readonly Asker[], cores: number): number {
  // Those that ask for least against their weight are content first.
  const byNeed = [...askers].sort((left, right) => left.cores / left.weight - right.cores / right.weight);
  let weights = byNeed.reduce((sum, { weight }) => sum + weight, 0);
  let left = cores;
  for (const asker of byNeed) {
    const part = left / weights;
    if (asker.cores > part * asker.weight) return part;
    left -= asker.cores;
    weights -= asker.weight;
  }
  return Number.POSITIVE_INFINITY;
}
