/**
 * Measures how long a peer has been silent.
 * @packageDocumentation
 */

/** Measures the time since the last frame. */
export interface SilenceClock {
  /** Restarts the measurement; has to be called for each frame. */
  reset(): void;
  /** Returns milliseconds since the last frame, starting over after a pause of this process. */
  check(): number;
}

/**
 * Creates a clock on the monotonic time of this process. It has to be checked at regular intervals.
 * @param maximumCheckGapMilliseconds - a longer time between two checks means that this process was paused
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
      // Frames that arrived during a pause of this process may not have been read yet, so the peer does not count as
      // silent.
      if (now - checkedAt > maximumCheckGapMilliseconds) silentSince = now;
      checkedAt = now;
      return now - silentSince;
    },
  };
}
