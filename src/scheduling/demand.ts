/**
 * Measures the work that callers ask for, accepted or not, so that machines can follow it.
 * @packageDocumentation
 */

/** A decaying rate of work. */
export interface WorkRate {
  /** Takes work that was asked for. */
  note(coreSeconds: number, now: number): void;
  /** Core-seconds asked for a second, over about the last second. */
  read(now: number): number;
}

/** Short enough to see a turn of demand within a second, long enough for a few jobs to come in it. */
const decayMilliseconds = 900;
const millisecondsPerSecond = 1_000;

/**
 * Creates a rate of 0.
 * @returns the rate
 */
export function createWorkRate(): WorkRate {
  let sum = 0;
  let readAt = 0;
  const decay = (now: number): void => {
    sum *= Math.exp(-Math.max(0, now - readAt) / decayMilliseconds);
    readAt = Math.max(readAt, now);
  };
  return {
    note: (coreSeconds, now) => {
      decay(now);
      sum += coreSeconds;
    },
    read: (now) => {
      decay(now);
      return sum / (decayMilliseconds / millisecondsPerSecond);
    },
  };
}
