/**
 * When the next round of placing is held. Answers a home whose news come faster than it can decide: rounds never take more
 * than a share of the process, however much news comes and however long they take.
 * @packageDocumentation
 */

/** Placing waits this long for news that comes together. */
const shortestMilliseconds = 4;
/** Room that has become free waits no longer than this for its next task. */
const longestMilliseconds = 60;
/** A round is followed by so many times the time that it took. */
const restFactor = 8;

/**
 * Computes how long news waits before a round.
 * @param lastRoundMilliseconds - how long the last round took
 * @returns milliseconds
 */
export function chooseRoundPause(lastRoundMilliseconds: number): number {
  return Math.min(longestMilliseconds, Math.max(shortestMilliseconds, restFactor * lastRoundMilliseconds));
}
