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

/** Short enough to see a turn of demand within a second, long enough for a few jobs to come in it. */
const steadyMilliseconds = 900;
/** Long enough that a few large jobs in a row do not pass for the height of a turn. */
const heightMilliseconds = 2_000;
/** So many jobs that come together tell a rate of their own; the more callers a pool has, the sooner it is known. */
const surgeMilliseconds = 300;
const surgeJobs = 8;
/** Jobs that come this close together may begin a turn. */
const onsetMilliseconds = 500;
/** One large job alone is no turn. */
const onsetJobs = 1.7;
/** A turn has begun when work comes at this share of the height of earlier ones. */
const onsetShare = 0.4;
/** Earlier turns are forgotten in this time. */
const memoryMilliseconds = 90_000;

/**
 * Creates a forecast of a pool's demand for a load that comes by turns: after a quiet time a pool is asked for several
 * times its mean for some seconds. While a turn begins, the height of earlier ones is expected at once, since machines
 * that come later come too late for its first jobs.
 * @returns the forecast, zero; its rate is what is expected
 */
export function createDemandForecast(): WorkRate {
  const steady = createWorkRate(steadyMilliseconds);
  const height = createWorkRate(heightMilliseconds);
  const onset = createWorkRate(onsetMilliseconds);
  const arrivals = createWorkRate(onsetMilliseconds);
  const surge = createWorkRate(surgeMilliseconds);
  const surgeArrivals = createWorkRate(surgeMilliseconds);
  let highest = 0;
  let highestAt = 0;

  const known = (now: number): number => highest * Math.exp(-(now - highestAt) / memoryMilliseconds);
  return {
    note: (coreSeconds, now) => {
      for (const rate of [steady, height, onset, surge]) rate.note(coreSeconds, now);
      for (const count of [arrivals, surgeArrivals]) count.note(1, now);
      const current = height.read(now);
      if (current < known(now)) return;
      highest = current;
      highestAt = now;
    },
    read: (now) => {
      const jobs = arrivals.read(now) * (onsetMilliseconds / millisecondsPerSecond);
      const isTurn = jobs >= onsetJobs && onset.read(now) >= onsetShare * known(now);
      const together = surgeArrivals.read(now) * (surgeMilliseconds / millisecondsPerSecond);
      const current = Math.max(steady.read(now), together >= surgeJobs ? surge.read(now) : 0);
      return isTurn ? Math.max(current, known(now)) : current;
    },
  };
}
