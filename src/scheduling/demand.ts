/**
 * Measures how much work callers request of a pool, and forecasts how much they are about to request.
 * @packageDocumentation
 */

/** A rate of requested work with exponential decay. Times are in milliseconds of the monotonic clock. */
export interface WorkRate {
  /** Adds requested work. */
  note(coreSeconds: number, now: number): void;
  /** Requested core-seconds per second, averaged over about the decay time. */
  read(now: number): number;
}

const millisecondsPerSecond = 1_000;

/**
 * Creates a rate of requested work.
 * @param decayMilliseconds - the time constant of the exponential decay
 * @returns a rate of 0
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

/** A forecast of the work that callers request of a pool. */
export interface DemandForecast extends WorkRate {
  /**
   * How fast the requested work grows.
   * @param now - the monotonic clock
   * @returns core-seconds per second, for each second that passes; 0 while it shrinks or too few jobs arrive
   */
  readGrowth(now: number): number;
}

/** Short enough to show a load surge within a second, long enough for a few jobs to arrive within it. */
const baseMilliseconds = 900;
/** Long enough that a few large jobs in a row are not taken for the peak of a surge. */
const peakMilliseconds = 2_000;
/**
 * Averaging time of bursts. A burst of at least `burstJobs` jobs gives a reliable rate sooner than the base rate does;
 * the more callers a pool has, the sooner that is.
 */
const burstMilliseconds = 300;
const burstJobs = 8;
/** Jobs that arrive this close together may be the onset of a surge. */
const onsetMilliseconds = 500;
/** Decayed number of arrivals at an onset; above 1, since one large job alone is no surge. */
const onsetJobs = 1.7;
/** A surge has begun when work arrives at this share of the peak rate of earlier surges. */
const onsetShare = 0.4;
/** Time constant with which the peak of earlier surges decays. */
const peakDecayMilliseconds = 90_000;
/** Decayed number of arrivals from which work can be said to grow: one large job alone is no growth. */
const growthJobs = 1.5;

/**
 * Creates a forecast of a pool's demand under load surges: after a quiet time, callers request several times the mean
 * load for some seconds. At the onset of a surge the forecast rises at once to the peak of earlier surges, since machines
 * that are requested later arrive too late for its first jobs.
 * @returns a forecast of 0; its `read` returns the expected rate
 */
export function createDemandForecast(): DemandForecast {
  const baseRate = createWorkRate(baseMilliseconds);
  const peakRate = createWorkRate(peakMilliseconds);
  const onsetRate = createWorkRate(onsetMilliseconds);
  const onsetArrivals = createWorkRate(onsetMilliseconds);
  const burstRate = createWorkRate(burstMilliseconds);
  const burstArrivals = createWorkRate(burstMilliseconds);
  const baseArrivals = createWorkRate(baseMilliseconds);
  let lastPeak = 0;
  let lastPeakAt = 0;

  const expectedPeak = (now: number): number =>
    lastPeak * Math.exp(-(now - lastPeakAt) / peakDecayMilliseconds);
  return {
    note: (coreSeconds, now) => {
      for (const rate of [baseRate, peakRate, onsetRate, burstRate]) rate.note(coreSeconds, now);
      for (const count of [onsetArrivals, burstArrivals, baseArrivals]) count.note(1, now);
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
    readGrowth: (now) => {
      const jobCount = baseArrivals.read(now) * (baseMilliseconds / millisecondsPerSecond);
      if (jobCount < growthJobs) return 0;
      // The slower average lags behind the faster one by the difference of their time constants.
      const lagSeconds = (peakMilliseconds - baseMilliseconds) / millisecondsPerSecond;
      return Math.max(0, baseRate.read(now) - peakRate.read(now)) / lagSeconds;
    },
  };
}
