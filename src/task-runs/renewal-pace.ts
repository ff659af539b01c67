/**
 * The pause between the renewals of a session: it grows with the rate of ends, so that one report brings several of them.
 * @packageDocumentation
 */

/** Bounds of the pause after a report. */
const shortestPauseMilliseconds = 25;
const longestPauseMilliseconds = 60;
/** Milliseconds that are added to the pause for each end a second. */
const pausePerEnd = 1.4;
/** Averaging time of the rate of ends. */
const rateMilliseconds = 1_000;
const millisecondsPerSecond = 1_000;

/** Chooses the pause after a report by the rate of the ends that were reported. */
export class RenewalPace {
  #endsPerSecond = 0;
  #reportedAt = performance.now();

  /**
   * Counts the ends of a report.
   * @param count - the ends that no earlier report has listed
   * @param now - the monotonic clock, in milliseconds
   */
  countEnds(count: number, now: number): void {
    const elapsed = Math.max(1, now - this.#reportedAt);
    this.#reportedAt = now;
    const weight = Math.min(1, elapsed / rateMilliseconds);
    this.#endsPerSecond += weight * ((count * millisecondsPerSecond) / elapsed - this.#endsPerSecond);
  }

  /** The pause before the next renewal. */
  pauseMilliseconds(): number {
    return Math.min(longestPauseMilliseconds, shortestPauseMilliseconds + pausePerEnd * this.#endsPerSecond);
  }
}
