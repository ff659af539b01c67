/**
 * Slows tasks that fill idle processor time beside long-running tasks whose users wait too long. Answers best-effort tasks whose
 * disturbance differs by image and changes within seconds.
 * @packageDocumentation
 */

/** A long-running task's tail latency against its goal. */
export interface TailLatency {
  readonly tailMilliseconds: number;
  readonly goalMilliseconds: number;
}

/** Above this share of the goal best-effort tasks are slowed. */
const slowDownShare = 0.85;
/** Below this share they may speed up again. */
const speedUpShare = 0.6;
const speedUpPercent = 15;
const slowestPercent = 0;
const fullPercent = 100;
const slowDownFactor = 0.4;
/** A pace below this brings too little to be worth the disturbance. */
const lowestUsefulPercent = 8;

/**
 * Computes the next pace of the best-effort tasks on a target.
 * @param percent - their pace now, 0 to 100
 * @param tails - the long-running tasks beside them
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
