/**
 * Vacating of a pool's targets, and the capacity that joins the pool in their place.
 * @packageDocumentation
 */
import type { RoomArrival } from "../scheduling/index.js";
import type { OwnerState } from "./owner-state.js";
import type { PoolTarget } from "./pool-target.js";

/** The registry is checked for new targets that are expected within this time. */
const arrivalNoticeMilliseconds = 800;

/**
 * Vacates targets, and uses all others again that were being vacated.
 * @param state - the owner
 * @param targetIds - the targets to vacate
 * @param arrivals - capacity that is about to join the pool, or that could be obtained for it
 * @param now - the monotonic clock
 */
export function vacateTargets(
  state: OwnerState,
  targetIds: readonly string[],
  arrivals: readonly RoomArrival[],
  now: number,
): void {
  const chosen = new Set(targetIds);
  state.expectedRoom = arrivals.map(({ resources, atMilliseconds }) => ({
    resources,
    at: now + atMilliseconds,
  }));
  for (const [targetId, target] of state.targets) setVacating(state, targetId, target, chosen.has(targetId));
}

/**
 * Whether new targets are about to join the pool.
 * @param state - the owner
 * @param now - the monotonic clock
 * @returns true when capacity is expected within the notice time, or is overdue
 */
export function expectsTargets(state: OwnerState, now: number): boolean {
  return state.expectedRoom.some(({ at }) => at < now + arrivalNoticeMilliseconds);
}

function setVacating(state: OwnerState, targetId: string, target: PoolTarget, isVacating: boolean): void {
  if (target.isVacating === isVacating) return;
  target.isVacating = isVacating;
  const runs = target.runs.size;
  state.log.write("info", "target-vacating", { pool: state.pool, target: targetId, isVacating, runs });
  state.wake();
}
