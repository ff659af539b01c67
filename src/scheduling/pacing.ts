/**
 * Throttles best-effort tasks, which use idle processor time, while users of long-running tasks on the same target wait too
 * long. How much a best-effort task disturbs others differs by image and changes within seconds, so the pace follows the
 * measured latency.
 * @packageDocumentation
 */

/** A long-running task's tail latency and its goal. */
export interface TailLatency {
  readonly tailMilliseconds: number;
  readonly goalMilliseconds: number;
}

/** Above this share of the goal, best-effort tasks are slowed down. */
const slowDownShare = 0.85;
/** Below this share of the goal, best-effort tasks speed up again. */
const speedUpShare = 0.6;
/** Added to the pace at each speed-up. */
const speedUpPercent = 15;
const slowestPercent = 0;
const fullPercent = 100;
/** Multiplies the pace at each slowdown; above the goal itself the tasks stop at once. */
const slowDownFactor = 0.4;
/** At a slower pace the work done does not justify the disturbance of other tasks. */
const lowestUsefulPercent = 8;

/**
 * Computes the next pace of the best-effort tasks on a target.
 * @param percent - their current pace, 0 to 100
 * @param tails - the tail latencies of the long-running tasks on the target
 * @returns the next pace, 0 to 100
 */
export function choosePace(percent: number, tails: readonly TailLatency[]): number {
  const worstShare = tails.reduce(
    (share, { tailMilliseconds, goalMilliseconds }) => Math.max(share, tailMilliseconds / goalMilliseconds),
    0,
  );
  if (worstShare > slowDownShare) {
    const slowed = Math.floor(percent * slowDownFactor);
    return worstShare > 1 || slowed < lowestUsefulPercent ? slowestPercent : slowed;
  }
  if (worstShare < speedUpShare) return Math.min(fullPercent, percent + speedUpPercent);
  return percent;
}
