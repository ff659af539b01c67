/**
 * Tells how old a frame of a peer is, without a common clock: by how much longer it was on its way than the fastest of
 * the last frames. A frame that waited in a paused process or a full link shows its age.
 * @packageDocumentation
 */

/** The clocks of two processes drift apart, so that old readings are dropped after one to two windows. */
const windowMilliseconds = 10_000;

/** Measures the age of one peer's frames. */
export interface TransitClock {
  /**
   * Takes a frame.
   * @param sentAt - when it was sent, by the peer's monotonic clock, in milliseconds
   * @param receivedAt - when it was read, by the monotonic clock of this process, in milliseconds
   * @returns its age beyond that of the fastest frame, in milliseconds
   */
  ageMilliseconds(sentAt: number, receivedAt: number): number;
}

/**
 * Creates a clock that knows no frame.
 * @returns the clock
 */
export function createTransitClock(): TransitClock {
  let windowStartedAt = Number.NEGATIVE_INFINITY;
  let earlier = Number.POSITIVE_INFINITY;
  let current = Number.POSITIVE_INFINITY;
  return {
    ageMilliseconds: (sentAt, receivedAt) => {
      const transit = receivedAt - sentAt;
      if (receivedAt - windowStartedAt > windowMilliseconds) {
        earlier = current;
        current = transit;
        windowStartedAt = receivedAt;
      }
      current = Math.min(current, transit);
      return transit - Math.min(earlier, current);
    },
  };
}
