/**
 * Estimates the load surges of a pool: periods of seconds in which several times the usual load arrives.
 * @packageDocumentation
 */

/** Height and duration of a load surge. */
export interface SurgeShape {
  /** Arrivals during a surge as a multiple of the usual arrivals. */
  readonly ratio: number;
  readonly seconds: number;
}

/** Estimates the shape of load surges from arrivals. */
export interface SurgeDetector {
  /**
   * Records the arrivals of one second.
   * @param arrivals - number of arrivals
   * @param usual - usual number of arrivals in a second; nothing is recorded if it is 0
   */
  observe(arrivals: number, usual: number): void;
  /**
   * Returns the shape of the surge that a pool should be able to carry.
   * @returns the estimate; `expectedSurge` until the first surge has ended
   */
  shape(): SurgeShape;
}

/** Shape that is expected before the first surge has been observed. */
export const expectedSurge: SurgeShape = { ratio: 3, seconds: 10 };

/** Arrivals in a surge exceed the usual arrivals by at least this factor. */
const surgeThreshold = 1.8;
/** They also exceed them by this many standard deviations, so that noise at low rates is not taken for a surge. */
const noiseDeviations = 4;
/** Shorter periods are ignored as noise. */
const minimumSurgeSeconds = 2;
const decreaseWeight = 0.1;

/**
 * Creates a detector.
 * @returns the detector, which expects `expectedSurge` until it has observed a surge
 */
export function createSurgeDetector(): SurgeDetector {
  let learned = expectedSurge;
  let seconds = 0;
  let surgeArrivals = 0;

  const endSurge = (usual: number): void => {
    if (seconds >= minimumSurgeSeconds) {
      const ratio = surgeArrivals / (seconds * usual);
      learned = {
        ratio: updateEstimate(learned.ratio, ratio),
        seconds: updateEstimate(learned.seconds, seconds),
      };
    }
    seconds = 0;
    surgeArrivals = 0;
  };

  return {
    observe: (arrivals, usual) => {
      if (usual <= 0) return;
      const noise = noiseDeviations * Math.sqrt(usual + 1);
      if (arrivals > usual * surgeThreshold && arrivals > usual + noise) {
        seconds += 1;
        surgeArrivals += arrivals;
      } else {
        endSurge(usual);
      }
    },
    shape: () => learned,
  };
}

/** Adopts larger values at once and approaches smaller ones slowly, so that the estimate errs on the safe side. */
function updateEstimate(held: number, seen: number): number {
  return seen > held ? seen : held + decreaseWeight * (seen - held);
}
