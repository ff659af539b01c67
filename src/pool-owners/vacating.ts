/**
 * Targets of a pool that are emptied, and the room that comes to it instead.
 * @packageDocumentation
 */
import type { RoomArrival } from "../scheduling/index.js";
import type { OwnerState, PoolTarget } from "./owner-state.js";

/** Machines that come so soon are looked for in the registry. */
const arrivalNoticeMilliseconds = 800;

/**
 * Empties targets; others that were being emptied are used again.
 * @param state - the owner
 * @param targetIds - the targets
 * @param arrivals - room that comes to the pool, or could be had for it
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
 * Tells whether machines are about to come to the pool.
 * @param state - the owner
 * @param now - the monotonic clock
 * @returns true when one is expected soon
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
