/**
 * How much work callers ask a pool for, and how much they are about to ask for.
 * @packageDocumentation
 */

/** A decaying rate of work. */
export interface WorkRate {
  /** Takes work that was asked for. */
  note(coreSeconds: number, now: number): void;
  /** Core-seconds asked for a second, over about the decay time. */
  read(now: number): number;
}

const millisecondsPerSecond = 1_000;

/**
 * Creates a rate that is zero.
 * @param decayMilliseconds - the time over which work counts
 * @returns the rate
 */
export function createWorkRate(decayMilliseconds: number): WorkRate {
  let sum = 0;
  let decayedAt = 0;
  const decay = (now: number): void => {
    sum *= Math.exp(-Math.max(0, now - decayedAt) / decayMilliseconds);
    decayedAt = Math.max(decayedAt, now);
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

/** Short enough to see a turn of demand within a second, long enough for a few jobs to come in it. */
const baseMilliseconds = 900;
/** Long enough that a few large jobs in a row do not pass for the height of a turn. */
const peakMilliseconds = 2_000;
/** So many jobs that come together tell a rate of their own; the more callers a pool has, the sooner it is known. */
const burstMilliseconds = 300;
const burstJobs = 8;
/** Jobs that come this close together may begin a turn. */
const onsetMilliseconds = 500;
/** One large job alone is no turn. */
const onsetJobs = 1.7;
/** A turn has begun when work comes at this share of the height of earlier ones. */
const onsetShare = 0.4;
/** Earlier turns are forgotten in this time. */
const peakDecayMilliseconds = 90_000;

/**
 * Creates a forecast of a pool's demand for a load that comes by turns: after a quiet time a pool is asked for several
 * times its mean for some seconds. While a turn begins, the height of earlier ones is expected at once, since machines
 * that come later come too late for its first jobs.
 * @returns the forecast, zero; its rate is what is expected
 */
export function createDemandForecast(): WorkRate {
  const baseRate = createWorkRate(baseMilliseconds);
  const peakRate = createWorkRate(peakMilliseconds);
  const onsetRate = createWorkRate(onsetMilliseconds);
  const onsetArrivals = createWorkRate(onsetMilliseconds);
  const burstRate = createWorkRate(burstMilliseconds);
  const burstArrivals = createWorkRate(burstMilliseconds);
  let lastPeak = 0;
  let lastPeakAt = 0;

  const expectedPeak = (now: number): number =>
    lastPeak * Math.exp(-(now - lastPeakAt) / peakDecayMilliseconds);
  return {
    note: (coreSeconds, now) => {
      for (const rate of [baseRate, peakRate, onsetRate, burstRate]) rate.note(coreSeconds, now);
      for (const count of [onsetArrivals, burstArrivals]) count.note(1, now);
      const current = peakRate.read(now);
      if (current < expectedPeak(now)) return;
      lastPeak = current;
      lastPeakAt = now;
    },
    read: (now) => {
      const onsetJobCount = onsetArrivals.read(now) * (onsetMilliseconds / millisecondsPerSecond);
      const isSurge = onsetJobCount >= onsetJobs && onsetRate.read(now) >= onsetShare * expectedPeak(now);
      const burstJobCount = burstArrivals.read(now) * (burstMilliseconds / millisecondsPerSecond);
      const current = Math.max(baseRate.read(now), burstJobCount >= burstJobs ? burstRate.read(now) : 0);
      return isSurge ? Math.max(current, expectedPeak(now)) : current;
    },
  };
}
