/**
 * A bounded sketch of how far run times lie from what was expected of them. Answers run times with tails: the mean says
 * little of the longest of many tasks, or of a task that has run for longer than most.
 * @packageDocumentation
 */

/** Ratios are told apart no finer than this. */
const binFactor = 1.1;
/** Bins on each side of 1; what lies further off counts in the last. */
const binsPerSide = 32;
const binCount = 2 * binsPerSide + 1;
/** Share of its weight that all earlier ratios keep when one of weight 1 comes. */
const retainedWeight = 0.998;
/** Weight of ratios as expected that a sketch begins with. */
const priorWeight = 0.5;
/** A task that has run longer than any before runs on for this share of what it has run. */
export const unseenRemainderShare = 0.25;

/** A distribution of ratios that forgets. */
export class RatioSketch {
  readonly #weights = Array.from({ length: binCount }, (_, bin): number =>
    bin === binsPerSide ? priorWeight : 0,
  );
  /** Expected largest of so many ratios, by their number. */
  readonly #largestByCount = new Map<number, number>();
  #total = priorWeight;
  /** What a new ratio weighs against those before: all earlier ones shrink together. */
  #scale = 1;

  /**
   * Takes a ratio.
   * @param ratio - the run time by what was expected
   * @param weight - how much it counts, at most 1
   */
  add(ratio: number, weight: number): void {
    if (!(ratio > 0) || !(weight > 0)) return;
    this.#scale /= retainedWeight ** weight;
    const bin = findBin(ratio);
    this.#weights[bin] = (this.#weights[bin] ?? 0) + weight * this.#scale;
    this.#total += weight * this.#scale;
    this.#largestByCount.clear();
    if (this.#scale > maximumScale) this.#shrink();
  }

  /**
   * The largest of some ratios.
   * @param count - how many are drawn
   * @returns what is expected of the largest
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
   * What is left of a run that goes on.
   * @param elapsed - what it has run, as a ratio
   * @returns what it is expected to run on, as a ratio
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

  #shrink(): void {
    this.#weights.forEach((weight, bin) => (this.#weights[bin] = weight / this.#scale));
    this.#total /= this.#scale;
    this.#scale = 1;
  }
}

const maximumScale = 1e6;
const maximumCachedCounts = 64;

function findBin(ratio: number): number {
  const offset = Math.round(Math.log(ratio) / Math.log(binFactor));
  return binsPerSide + Math.max(-binsPerSide, Math.min(binsPerSide, offset));
}

function valueOf(bin: number): number {
  return binFactor ** (bin - binsPerSide);
}
