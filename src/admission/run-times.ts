/**
 * Estimates of run times: a histogram for each operation, in which older samples have less weight.
 * @packageDocumentation
 */

/** Estimated run times of operations. */
export interface RunTimes {
  /**
   * Records a run.
   * @param operation - the operation's key
   * @param milliseconds - duration of the run
   */
  record(operation: string, milliseconds: number): void;
  /**
   * Estimates the mean run time.
   * @param operation - the operation's key
   * @returns the mean in milliseconds; derived from the declared run time until runs are recorded
   */
  mean(operation: string): number;
  /**
   * Estimates a quantile of the run time.
   * @param operation - the operation's key
   * @param quantile - the quantile, from 0 to 1, such as 0.99
   * @returns the quantile in milliseconds, rounded up to the end of a histogram bucket
   */
  quantile(operation: string, quantile: number): number;
}

interface DecayingHistogram {
  readonly weights: number[];
  /** Run time declared in the configuration, spread over several multiples, in milliseconds. */
  readonly declared: readonly number[];
  /** Weight of the declared run time, in samples; decreases with every measured run. */
  declaredWeight: number;
  total: number;
  weightedSum: number;
}

const bucketsPerDoubling = 8;
const bucketCount = 24 * bucketsPerDoubling;
/** Factor by which a sample's weight decreases with each later sample. */
const decayPerSample = 0.995;
/** Weight of the declared run time before the first measured run, in samples. */
const firstDeclaredWeight = 3;
/** Factor by which the weight of the declared run time decreases with each measured run. */
const declaredDecayPerSample = 0.7;
/** The declared run time is spread over these multiples, since it is often inaccurate. */
const declaredMultiples = [0.5, 1, 2];

/**
 * Creates estimates without any recorded run.
 * @param declaredMilliseconds - returns the run time declared for an operation, in milliseconds
 * @returns the estimates
 */
export function createRunTimes(declaredMilliseconds: (operation: string) => number): RunTimes {
  const histograms = new Map<string, DecayingHistogram>();
  const find = (operation: string): DecayingHistogram => {
    const existing = histograms.get(operation);
    if (existing !== undefined) return existing;
    const created = {
      weights: new Array<number>(bucketCount).fill(0),
      declared: declaredMultiples.map((multiple) => declaredMilliseconds(operation) * multiple),
      declaredWeight: firstDeclaredWeight,
      total: 0,
      weightedSum: 0,
    };
    histograms.set(operation, created);
    return created;
  };
  return {
    record: (operation, milliseconds) => {
      const histogram = find(operation);
      decay(histogram);
      addSample(histogram, milliseconds);
    },
    mean: (operation) => {
      const { weightedSum, total, declared, declaredWeight } = find(operation);
      const declaredMean = declared.reduce((sum, each) => sum + each, 0) / declared.length;
      return (weightedSum + declaredWeight * declaredMean) / (total + declaredWeight);
    },
    quantile: (operation, quantile) => {
      const { weights, total, declared, declaredWeight } = find(operation);
      const combined = [...weights];
      for (const each of declared) {
        const index = bucketOf(each);
        combined[index] = (combined[index] ?? 0) + declaredWeight / declared.length;
      }
      let cumulativeWeight = 0;
      const index = combined.findIndex((weight) => {
        cumulativeWeight += weight;
        return cumulativeWeight >= quantile * (total + declaredWeight);
      });
      return 2 ** ((index === -1 ? bucketCount : index + 1) / bucketsPerDoubling);
    },
  };
}

function bucketOf(milliseconds: number): number {
  const position = Math.floor(Math.log2(Math.max(1, milliseconds)) * bucketsPerDoubling);
  return Math.min(bucketCount - 1, position);
}

function decay(histogram: DecayingHistogram): void {
  for (let index = 0; index < bucketCount; index += 1) {
    histogram.weights[index] = (histogram.weights[index] ?? 0) * decayPerSample;
  }
  histogram.declaredWeight *= declaredDecayPerSample;
  histogram.total *= decayPerSample;
  histogram.weightedSum *= decayPerSample;
}

function addSample(histogram: DecayingHistogram, milliseconds: number): void {
  const index = bucketOf(milliseconds);
  histogram.weights[index] = (histogram.weights[index] ?? 0) + 1;
  histogram.total += 1;
  histogram.weightedSum += milliseconds;
}
