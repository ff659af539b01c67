/**
 * Learned run times: for each operation a histogram whose old samples lose weight.
 * @packageDocumentation
 */

/** Learned run times of operations. */
export interface RunTimes {
  /**
   * Records a run.
   * @param operation - the operation's key
   * @param milliseconds - how long the run took
   */
  record(operation: string, milliseconds: number): void;
  /**
   * Estimates the mean run time.
   * @param operation - the operation's key
   * @returns milliseconds
   */
  mean(operation: string): number;
  /**
   * Estimates a quantile of the run time.
   * @param operation - the operation's key
   * @param share - the quantile, such as 0.99
   * @returns milliseconds, rounded up to the end of a histogram bucket
   */
  quantile(operation: string, share: number): number;
}

interface DecayingHistogram {
  readonly weights: number[];
  /** What operators declared, spread over several buckets. */
  readonly declared: readonly number[];
  /** Weight of the declared run time in samples; it falls with every measured run. */
  declaredWeight: number;
  total: number;
  weightedSum: number;
}

const bucketsPerDoubling = 8;
const bucketCount = 24 * bucketsPerDoubling;
/** What a sample's weight is multiplied by for each later sample. */
const decayPerSample = 0.995;
/** Weight of the declared run time before the first measured run, in samples. */
const firstDeclaredWeight = 3;
/** What the declared run time's weight is multiplied by for each measured run. */
const declaredDecayPerSample = 0.7;
/** The declared run time is spread over these multiples, since it is often wrong. */
const declaredMultiples = [0.5, 1, 2];

/**
 * Creates an empty set of run times.
 * @param declaredMilliseconds - reads what the operators declared for an operation
 * @returns the run times
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
    quantile: (operation, share) => {
      const { weights, total, declared, declaredWeight } = find(operation);
      const combined = [...weights];
      for (const each of declared) {
        const index = bucketOf(each);
        combined[index] = (combined[index] ?? 0) + declaredWeight / declared.length;
      }
      let seen = 0;
      const index = combined.findIndex((weight) => {
        seen += weight;
        return seen >= share * (total + declaredWeight);
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
