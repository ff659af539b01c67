/**
 * Estimates run times. The run time that operators declare counts as a few runs, so measured runs soon outweigh it.
 * @packageDocumentation
 */

/** Estimates the mean run time of one kind of work. */
export interface RunTimeEstimator {
  /**
   * Records a finished run.
   * @param seconds - duration of the run in seconds
   */
  record(seconds: number): void;
  /**
   * Returns the present estimate.
   * @returns the mean run time in seconds
   */
  meanSeconds(): number;
}

/** Weight of the declared run time, as a number of measured runs. */
const declaredWeight = 5;
/** Bounds the weight of past runs, so that the estimate keeps following changes. */
const maximumWeight = 2_000;

/**
 * Creates an estimator.
 * @param declaredSeconds - run time that the operators declared, in seconds
 * @returns the estimator, which returns the declared run time until a run is recorded
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
