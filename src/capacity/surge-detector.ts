/**
 * Learns the turns of a pool: seconds in which several times the usual load arrives.
 * @packageDocumentation
 */

/** How a pool's turns look. */
export interface SurgeShape {
  /** Arrivals of a turn as a multiple of the usual ones. */
  readonly ratio: number;
  readonly seconds: number;
}

/** Learns the shape of turns from arrivals. */
export interface SurgeDetector {
  /**
   * Takes the arrivals of one second.
   * @param arrivals - how many
   * @param usual - usual arrivals of a second
   */
  observe(arrivals: number, usual: number): void;
  /**
   * Describes a turn to be ready for.
   * @returns the shape
   */
  shape(): SurgeShape;
}

/** What is expected before any turn was seen. */
export const expectedSurge: SurgeShape = { ratio: 3, seconds: 10 };

const surgeThreshold = 1.8;
const noiseDeviations = 4;
const minimumSurgeSeconds = 2;
const decreaseWeight = 0.1;

/**
 * Creates a detector.
 * @returns the detector, which expects the usual turn until it has seen others
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

/** Follows larger values at once and smaller ones slowly. */
function updateEstimate(held: number, seen: number): number {
  return seen > held ? seen : held + decreaseWeight * (seen - held);
}
