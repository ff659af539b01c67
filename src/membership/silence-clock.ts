/**
 * Measures the silence of a peer.
 * @packageDocumentation
 */

/** Measures how long nothing was received. */
export interface SilenceClock {
  /** Starts anew, since something was received. */
  reset(): void;
  /** Returns the time without a frame, not counting the time in which this process itself stood still. */
  check(): number;
}

/**
 * Creates a clock on the monotonic time of this process. It is to be checked at even intervals.
 * @param maximumCheckGapMilliseconds - a longer time between two checks means that this process itself stood still
 * @returns the clock
 */
export function createSilenceClock(maximumCheckGapMilliseconds: number): SilenceClock {
  let silentSince = performance.now();
  let checkedAt = silentSince;
  return {
    reset: () => {
      silentSince = performance.now();
    },
    check: () => {
      const now = performance.now();
      // Frames may wait unread after a pause of this process.
      if (now - checkedAt > maximumCheckGapMilliseconds) silentSince = now;
      checkedAt = now;
      return now - silentSince;
    },
  };
}
