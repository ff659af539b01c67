/**
 * Tests whether a wave's failures exceed the usual failure rate, by the binomial distribution.
 * @packageDocumentation
 */

/** Probability below which a number of failures is not attributed to chance. */
const significanceLevel = 0.01;

/**
 * Computes the binomial probability of at least a given number of failures.
 * @param failures - smallest number of failures
 * @param trials - instances that returned or failed
 * @param usualShare - usual probability that an instance fails, from 0 to below 1
 * @returns a probability from 0 to 1
 */
export function probabilityOfAtLeast(failures: number, trials: number, usualShare: number): number {
  // The probability of exactly `count` failures, each derived from the one before.
  let term = (1 - usualShare) ** trials;
  let probabilityOfFewer = 0;
  for (let count = 0; count < failures; count += 1) {
    probabilityOfFewer += term;
    term *= ((trials - count) / (count + 1)) * (usualShare / (1 - usualShare));
  }
  return Math.max(0, 1 - probabilityOfFewer);
}

/**
 * Decides whether a wave has more failures than usual.
 * @param failures - instances that did not return
 * @param trials - instances that returned or failed
 * @param usualShare - usual probability that an instance fails, from 0 to below 1
 * @returns true when so many failures would occur by chance in fewer than one of a hundred waves
 */
export function hasUnusualFailures(failures: number, trials: number, usualShare: number): boolean {
  return failures > 0 && probabilityOfAtLeast(failures, trials, usualShare) < significanceLevel;
}
