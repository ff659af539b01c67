/**
 * The clock that all times of a soak's history come from.
 * @packageDocumentation
 */

/**
 * Reads a monotonic clock that started at the wall-clock time.
 * @returns Unix milliseconds with fractions, never less than an earlier reading
 */
export function readClock(): number {
  return performance.timeOrigin + performance.now();
}
