/**
 * Learns the turns of a pool: seconds in which several times the usual load arrives.
 * @packageDocumentation
 */

/** How a pool's turns look. */
export interface TurnShape {
  /** Arrivals of a turn as a multiple of the usual ones. */
  readonly ratio: number;
  readonly seconds: number;
}

/** Learns the shape of turns from arrivals. */
export interface TurnDetector {
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
  shape(): TurnShape;
}

/** What is expected before any turn was seen. */
export const expectedTurn: TurnShape = { ratio: 3, seconds: 10 };

const turnThreshold = 1.8;
const noiseDeviations = 4;
const shortestTurnSeconds = 2;
const forgetShare = 0.1;

/**
 * Creates a detector.
 * @returns the detector, which expects the usual turn until it has seen others
 */
export function createTurnDetector(): TurnDetector {
  let learned = expectedTurn;
  let seconds = 0;
  let arrived = 0;

  const finish = (usual: number): void => {
    if (seconds >= shortestTurnSeconds) {
      const ratio = arrived / (seconds * usual);
      learned = { ratio: learn(learned.ratio, ratio), seconds: learn(learned.seconds, seconds) };
    }
    seconds = 0;
    arrived = 0;
  };

  return {
    observe: (arrivals, usual) => {
      if (usual <= 0) return;
      const noise = noiseDeviations * Math.sqrt(usual + 1);
      if (arrivals > usual * turnThreshold && arrivals > usual + noise) {
        seconds += 1;
        arrived += arrivals;
      } else {
        finish(usual);
      }
    },
    shape: () => learned,
  };
}

/** Follows larger values at once and smaller ones slowly. */
function learn(held: number, seen: number): number {
  return seen > held ? seen : held + forgetShare * (seen - held);
}
