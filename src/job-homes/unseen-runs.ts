/**
 * Runs that an earlier home may have started and that this one has not seen yet.
 * @packageDocumentation
 */
import type { Task } from "../jobs/index.js";
import type { HomeState } from "./home-state.js";

/**
 * Tells whether an earlier home may have started a task on a target that has not answered since.
 * @param state - the home
 * @param task - the task
 * @returns false for one that this home knows all runs of
 */
export function mayRunUnseen({ awaited }: Pick<HomeState, "awaited">, task: Task): boolean {
  const { job, definition, recordedPlaces, isAccountedFor } = task;
  if (awaited.size === 0 || !job.isInherited || isAccountedFor) return false;
  return !definition.isLasting || recordedPlaces.some((targetId) => awaited.has(targetId));
}
