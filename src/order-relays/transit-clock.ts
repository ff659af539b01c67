/**
 * Measures the age of a peer's frames without a common clock: the age is the transit time beyond that of the fastest
 * recent frame. It is large for a frame that waited in a paused process or on a congested link.
 * @packageDocumentation
 */

/** Readings are dropped after one to two windows, since the clocks of two processes drift apart. */
const windowMilliseconds = 10_000;

/** Measures the age of one peer's frames. */
export interface TransitClock {
  /**
   * Measures a frame and notes its transit time.
   * @param sentAt - when the frame was sent, by the peer's monotonic clock, in milliseconds
   * @param receivedAt - when the frame was read, by the monotonic clock of this process, in milliseconds
   * @returns the transit time beyond that of the fastest recent frame, in milliseconds
   */
  ageMilliseconds(sentAt: number, receivedAt: number): number;
}

/**
 * Creates a clock without readings.
 * @returns the clock; the age of its first frame is 0
 */
export function createTransitClock(): TransitClock {
  let windowStartedAt = Number.NEGATIVE_INFINITY;
  let earlierMinimum = Number.POSITIVE_INFINITY;
  let currentMinimum = Number.POSITIVE_INFINITY;
  return {
    ageMilliseconds: (sentAt, receivedAt) => {
      const transit = receivedAt - sentAt;
      if (receivedAt - windowStartedAt > windowMilliseconds) {
        earlierMinimum = currentMinimum;
        currentMinimum = transit;
        windowStartedAt = receivedAt;
      }
      currentMinimum = Math.min(currentMinimum, transit);
      return transit - Math.min(earlierMinimum, currentMinimum);
    },
  };
}
