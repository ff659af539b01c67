/**
 * Seeded randomness.
 * @packageDocumentation
 */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";

/** A seeded source of random numbers. */
export interface Random {
  /**
   * Draws a whole number.
   * @param minimum - smallest result
   * @param maximum - largest result
   * @returns a whole number between both, both included
   */
  integer(minimum: number, maximum: number): number;
  /**
   * Draws a fraction.
   * @returns a number from 0 (included) to 1 (excluded)
   */
  fraction(): number;
  /**
   * Draws from an exponential distribution.
   * @param mean - the distribution's mean
   * @returns a number of 0 or more
   */
  exponential(mean: number): number;
}

/** The first draws of neighbouring seeds are alike; later ones are not. */
const discardedDraws = 32;

/**
 * Creates a source of random numbers.
 * @param seed - equal seeds give equal sequences
 * @returns the source
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
