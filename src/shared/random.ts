/**
 * Seeded pseudorandom numbers.
 * @packageDocumentation
 */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";

/** A seeded pseudorandom number generator. */
export interface Random {
  /**
   * Draws a uniformly distributed integer.
   * @param minimum - smallest result, an integer
   * @param maximum - largest result, an integer of at least `minimum`
   * @returns an integer from `minimum` to `maximum`, both included
   */
  integer(minimum: number, maximum: number): number;
  /**
   * Draws a uniformly distributed fraction.
   * @returns a number from 0 (included) to 1 (excluded)
   */
  fraction(): number;
  /**
   * Draws from an exponential distribution.
   * @param mean - the distribution's mean, 0 or more
   * @returns a number of 0 or more
   */
  exponential(mean: number): number;
}

/** Number of initial draws to discard: the first draws of adjacent seeds are correlated, later ones are not. */
const discardedDraws = 32;

/**
 * Creates a generator.
 * @param seed - an integer; equal seeds give equal sequences
 * @returns the generator
 */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  for (let draw = 0; draw < discardedDraws; draw += 1) generator.next();
  const fraction = (): number => uniformFloat64(generator);
  return {
    integer: (minimum, maximum) => uniformInt(generator, minimum, maximum),
    fraction,
    exponential: (mean) => -mean * Math.log(1 - fraction()),
  };
}
