/**
 * Runs that an earlier owner may have started and that this one has not seen yet.
 * @packageDocumentation
 */
import type { Task } from "../jobs/index.js";
import type { OwnerState } from "./owner-state.js";

/**
 * Tells whether an earlier owner may have started a task on a target that has not answered since.
 * @param state - the owner
 * @param task - the task
 * @returns false for one that this owner knows all runs of
 */
export function mayRunUnseen(
  { awaitedTargets: awaited }: Pick<OwnerState, "awaitedTargets">,
  task: Task,
): boolean {
  const { job, definition, recordedPlaces, isAccountedFor } = task;
  if (awaited.size === 0 || !job.isFromFormerOwner || isAccountedFor) return false;
  return !definition.isLasting || recordedPlaces.some((targetId) => awaited.has(targetId));
}
