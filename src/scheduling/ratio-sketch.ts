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
const keptWeight = 0.998;
/** Weight of ratios as expected that a sketch begins with. */
const believedWeight = 0.5;
/** A task that has run longer than any before runs on for this share of what it has run. */
export const unseenRestShare = 0.25;

/** A distribution of ratios that forgets. */
export class RatioSketch {
  readonly #weights = Array.from({ length: binCount }, (_, bin): number =>
    bin === binsPerSide ? believedWeight : 0,
  );
  /** Expected largest of so many ratios, by their number. */
  readonly #largest = new Map<number, number>();
  #total = believedWeight;
  /** What a new ratio weighs against those before: all earlier ones shrink together. */
  #scale = 1;

  /**
   * Takes a ratio.
   * @param ratio - the run time by what was expected
   * @param weight - how much it counts, at most 1
   */
  add(ratio: number, weight: number): void {
    if (!(ratio > 0) || !(weight > 0)) return;
    this.#scale /= keptWeight ** weight;
    const bin = findBin(ratio);
    this.#weights[bin] = (this.#weights[bin] ?? 0) + weight * this.#scale;
    this.#total += weight * this.#scale;
    this.#largest.clear();
    if (this.#scale > largestScale) this.#shrink();
  }

  /**
   * The largest of some ratios.
   * @param count - how many are drawn
   * @returns what is expected of the largest
   */
  largest(count: number): number {
    const known = this.#largest.get(count);
    if (known !== undefined) return known;
    let sum = 0;
    let below = 0;
    let shareBelow = 0;
    for (const [bin, weight] of this.#weights.entries()) {
      below += weight;
      const share = (below / this.#total) ** count;
      sum += valueOf(bin) * (share - shareBelow);
      shareBelow = share;
    }
    if (this.#largest.size >= mostCounts) this.#largest.clear();
    this.#largest.set(count, sum);
    return sum;
  }

  /**
   * What is left of a run that goes on.
   * @param elapsed - what it has run, as a ratio
   * @returns what it is expected to run on, as a ratio
   */
  rest(elapsed: number): number {
    let sum = 0;
    let weightAbove = 0;
    for (let bin = findBin(elapsed) + 1; bin < binCount; bin += 1) {
      const weight = this.#weights[bin] ?? 0;
      sum += weight * (valueOf(bin) - elapsed);
      weightAbove += weight;
    }
    return weightAbove > 0 ? sum / weightAbove : unseenRestShare * elapsed;
  }

  #shrink(): void {
    this.#weights.forEach((weight, bin) => (this.#weights[bin] = weight / this.#scale));
    this.#total /= this.#scale;
    this.#scale = 1;
  }
}

const largestScale = 1e6;
const mostCounts = 64;

function findBin(ratio: number): number {
  const offset = Math.round(Math.log(ratio) / Math.log(binFactor));
  return binsPerSide + Math.max(-binsPerSide, Math.min(binsPerSide, offset));
}

function valueOf(bin: number): number {
  return binFactor ** (bin - binsPerSide);
}
