/**
 * Starts without an answer whose target has started again under its identifier: the new life knows nothing of fencing
 * tokens or stops before, and may still carry such an order out. It is stopped there before the task starts elsewhere.
 * @packageDocumentation
 */
import type { HomeState, HomeTarget, TargetRun } from "./home-state.js";

/**
 * Keeps the unanswered starts of a life that is over for the next one.
 * @param state - the home
 * @param target - the target, whose life is over
 * @param lateOrderMilliseconds - an order that is so old is carried out no more
 */
export function keepUnsettledStarts(
  state: HomeState,
  { session, runs }: HomeTarget,
  lateOrderMilliseconds: number,
): void {
  const { unsettledStarts } = state;
  const { targetId } = session;
  const unsettled = [...runs.values()].filter(({ run }) => run.confirmedAt === undefined);
  if (unsettled.length === 0) return;
  for (const { task, run } of unsettled) {
    runs.delete(task.name);
    run.status = "unresolved";
    run.stopAskedAt = undefined;
    run.stopConfirmedAt = undefined;
  }
  const kept = [...(unsettledStarts.get(targetId) ?? []), ...unsettled];
  unsettledStarts.set(targetId, kept);
  const timer = setTimeout(() => {
    forgetUnsettledStarts(state, targetId, kept);
  }, lateOrderMilliseconds);
  timer.unref();
}

/**
 * Takes the unanswered starts that the next life of a target has to be asked to stop.
 * @param state - the home
 * @param targetId - the target
 * @returns the starts, no longer kept
 */
export function takeUnsettledStarts(state: HomeState, targetId: string): readonly TargetRun[] {
  const kept = state.unsettledStarts.get(targetId) ?? [];
  state.unsettledStarts.delete(targetId);
  return kept;
}

/** The target did not come back. */
function forgetUnsettledStarts(state: HomeState, targetId: string, kept: readonly TargetRun[]): void {
  if (state.unsettledStarts.get(targetId) !== kept) return;
  state.unsettledStarts.delete(targetId);
  for (const { task, run } of kept) {
    const position = task.runs.indexOf(run);
    if (position >= 0) task.runs.splice(position, 1);
  }
  state.wake();
}
