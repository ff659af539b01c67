/**
 * Learned run times. What operators declare counts as a few runs and is soon outweighed.
 * @packageDocumentation
 */

/** Learns the mean run time of one kind of work. */
export interface RunTimeEstimator {
  /**
   * Takes a finished run.
   * @param seconds - how long it took
   */
  record(seconds: number): void;
  /**
   * Estimates the mean.
   * @returns the mean run time in seconds
   */
  meanSeconds(): number;
}

const declaredWeight = 5;
const maximumWeight = 2_000;

/**
 * Creates an estimator.
 * @param declaredSeconds - what operators believe a run takes
 * @returns the estimator
 */
export function createRunTimeEstimator(declaredSeconds: number): RunTimeEstimator {
  let weight = declaredWeight;
  let mean = declaredSeconds;
  return {
    record: (seconds) => {
      weight = Math.min(weight + 1, maximumWeight);
      mean += (seconds - mean) / weight;
    },
    meanSeconds: () => mean,
  };
}
