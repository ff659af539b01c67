/**
 * The clock of a soak.
 * @packageDocumentation
 */

/**
 * Reads the clock: Unix milliseconds that only rise, with fractions.
 * @returns the time
 */
export function readClock(): number {
  return performance.timeOrigin + performance.now();
}
