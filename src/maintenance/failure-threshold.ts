/**
 * Tells failures that are more than usual from those that happen anyway.
 * @packageDocumentation
 */

/** Probability below which a number of failures is not put down to chance. */
const significanceLevel = 0.01;

/**
 * Computes the probability of at least so many failures, by the binomial distribution.
 * @param failures - failures seen
 * @param trials - instances that ended
 * @param usualShare - share of instances that fail usually
 * @returns a probability from 0 to 1
 */
export function probabilityOfAtLeast(failures: number, trials: number, usualShare: number): number {
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
 * @param usualShare - share of instances that fail usually
 * @returns true when chance alone explains it in less than one case of a hundred
 */
export function hasUnusualFailures(failures: number, trials: number, usualShare: number): boolean {
  return failures > 0 && probabilityOfAtLeast(failures, trials, usualShare) < significanceLevel;
}
