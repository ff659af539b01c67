/**
 * A bounded sketch of the ratios of run times to their expected values. When run times have a long tail, the mean predicts
 * little about the longest of many tasks, or about a task that has run longer than most.
 * @packageDocumentation
 */

/** Ratio between neighbouring bins, which is the resolution of the sketch. */
const binFactor = 1.1;
/** Bins on each side of 1; ratios that are further off count in the outermost bin. */
const binsPerSide = 32;
const binCount = 2 * binsPerSide + 1;
/** Share of their weight that earlier ratios retain when a ratio of weight 1 is added. */
const retainedWeight = 0.998;
/** Weight of the ratio 1 in an empty sketch: run times are as expected until others are learned. */
const priorWeight = 0.5;
/** A task that has run longer than any before is expected to run for this share of its elapsed time more. */
export const unseenRemainderShare = 0.25;

/** A distribution of ratios in which older ratios lose weight. */
export class RatioSketch {
  readonly #weights = Array.from({ length: binCount }, (_, bin): number =>
    bin === binsPerSide ? priorWeight : 0,
  );
  /** Cache of `expectedLargest`, by the number of ratios. */
  readonly #largestByCount = new Map<number, number>();
  #total = priorWeight;
  /** Weight of a new ratio; its growth decays all earlier weights at once. */
  #scale = 1;

  /**
   * Adds a ratio; ignores one that is not positive.
   * @param ratio - the run time divided by its expected value
   * @param weight - its weight, above 0 and at most 1
   */
  add(ratio: number, weight: number): void {
    if (!(ratio > 0) || !(weight > 0)) return;
    this.#scale /= retainedWeight ** weight;
    const bin = findBin(ratio);
    this.#weights[bin] = (this.#weights[bin] ?? 0) + weight * this.#scale;
    this.#total += weight * this.#scale;
    this.#largestByCount.clear();
    if (this.#scale > maximumScale) this.#normalize();
  }

  /**
   * Computes the expected largest of several ratios drawn from the distribution.
   * @param count - how many ratios are drawn
   * @returns the expected largest ratio
   */
  expectedLargest(count: number): number {
    const cached = this.#largestByCount.get(count);
    if (cached !== undefined) return cached;
    let sum = 0;
    let below = 0;
    let shareBelow = 0;
    for (const [bin, weight] of this.#weights.entries()) {
      below += weight;
      const share = (below / this.#total) ** count;
      sum += valueOf(bin) * (share - shareBelow);
      shareBelow = share;
    }
    if (this.#largestByCount.size >= maximumCachedCounts) this.#largestByCount.clear();
    this.#largestByCount.set(count, sum);
    return sum;
  }

  /**
   * Computes the expected remaining time of a run that has not ended.
   * @param elapsed - its elapsed time divided by its expected run time
   * @returns the expected remaining time divided by the expected run time
   */
  expectedRemainder(elapsed: number): number {
    let sum = 0;
    let weightAbove = 0;
    for (let bin = findBin(elapsed) + 1; bin < binCount; bin += 1) {
      const weight = this.#weights[bin] ?? 0;
      sum += weight * (valueOf(bin) - elapsed);
      weightAbove += weight;
    }
    return weightAbove > 0 ? sum / weightAbove : unseenRemainderShare * elapsed;
  }

  #normalize(): void {
    this.#weights.forEach((weight, bin) => (this.#weights[bin] = weight / this.#scale));
    this.#total /= this.#scale;
    this.#scale = 1;
  }
}

/** Above this scale the weights are normalized, which keeps them far from overflow. */
const maximumScale = 1e6;
/** Bounds the cache of expected largest ratios. */
const maximumCachedCounts = 64;

function findBin(ratio: number): number {
  const offset = Math.round(Math.log(ratio) / Math.log(binFactor));
  return binsPerSide + Math.max(-binsPerSide, Math.min(binsPerSide, offset));
}

function valueOf(bin: number): number {
  return binFactor ** (bin - binsPerSide);
}
