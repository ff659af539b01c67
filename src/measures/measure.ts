/**
 * What a measurement is and what it reports.
 * @packageDocumentation
 */

/** One measured figure. */
export interface Figure {
  readonly name: string;
  readonly value: number;
  /** Unit such as `ms`, `requests/s`, `share`, `bytes/s`. */
  readonly unit: string;
  /** The same figure of the baseline in the same run. */
  readonly baseline?: number;
  /** The stated target, in words. */
  readonly target?: string;
}

/** A measurement that the command line can run. */
export interface Measure {
  readonly name: string;
  readonly description: string;
  /**
   * Runs the measurement.
   * @param seed - seed of all its randomness
   * @returns the figures of this run
   */
  run(seed: number): Promise<readonly Figure[]>;
}
