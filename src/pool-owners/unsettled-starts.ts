/**
 * Starts that were sent to an earlier incarnation of a target which has restarted under the same identifier. The new
 * incarnation has no record of earlier fencing tokens and stops. It may have carried out a start that was meant for the
 * earlier incarnation, or may still do so. Such a start is checked for, or stopped, on the new incarnation before the task
 * starts elsewhere.
 * @packageDocumentation
 */
import type { OwnerState } from "./owner-state.js";
import type { PoolTarget, TargetRun, UnansweredStart } from "./pool-target.js";
import { lateOrderMilliseconds } from "./target-incarnations.js";

/** Bounds the number of unanswered starts that are kept for each target. */
const maximumUnanswered = 200;
const stopTimeoutMilliseconds = 700;

/** Added to a target's failure score for each start without an answer, so that placement avoids the target for a while. */
const failureScorePerStart = 1;

/**
 * Marks a start as unanswered: it may be lost, carried out, or carried out later.
 * @param state - the owner's state
 * @param target - the target to which the start was sent
 * @param started - the run
 */
export function markStartUnanswered(state: OwnerState, target: PoolTarget, { task, run }: TargetRun): void {
  run.status = "unresolved";
  noteUnansweredStart(state, run.targetId, { task: task.name, run: run.run, startedAt: run.startedAt });
  target.failureScore += failureScorePerStart;
}

/**
 * Records a start without an answer, for `refuseLateStarts`.
 * @param state - the owner's state
 * @param targetId - the target to which the start was sent
 * @param start - the start
 */
export function noteUnansweredStart(state: OwnerState, targetId: string, start: UnansweredStart): void {
  const earlier = state.unansweredStarts.get(targetId) ?? [];
  state.unansweredStarts.set(targetId, [...earlier, start].slice(-maximumUnanswered));
}

/**
 * Makes a new incarnation of a target refuse late starts that were sent to the earlier incarnation: it has no record of the
 * stops that the earlier one confirmed.
 * @param state - the owner's state
 * @param target - the new incarnation
 */
export function refuseLateStarts(state: OwnerState, target: PoolTarget): void {
  const { unansweredStarts, orders, log, pool } = state;
  const { targetId } = target.session;
  const oldest = performance.now() - lateOrderMilliseconds;
  const recent = (unansweredStarts.get(targetId) ?? []).filter(({ startedAt }) => startedAt > oldest);
  unansweredStarts.set(targetId, recent);
  if (recent.length === 0) unansweredStarts.delete(targetId);
  for (const { task, run } of recent) {
    if (target.runs.has(task)) continue;
    log.write("info", "late-start-refused", { pool, task, run, target: targetId });
    void orders.stop({
      target: target.session.target(),
      timeoutMilliseconds: stopTimeoutMilliseconds,
      task,
      run,
    });
  }
}

/**
 * Keeps the starts that no report of an ended incarnation showed, for the next incarnation of the target.
 * @param state - the owner's state
 * @param target - the ended incarnation
 */
export function keepUnsettledStarts(state: OwnerState, { session, runs }: PoolTarget): void {
  const { unsettledStarts } = state;
  const { targetId } = session;
  const unsettled = [...runs.values()].filter(({ run }) => !run.isListed);
  if (unsettled.length === 0) return;
  for (const { task, run } of unsettled) {
    runs.delete(task.name);
    if (run.confirmedAt !== undefined) continue;
    run.status = "unresolved";
    run.startCheckedAt = undefined;
    run.stopRequestedAt = undefined;
    run.stopConfirmedAt = undefined;
  }
  unsettledStarts.set(targetId, [...(unsettledStarts.get(targetId) ?? []), ...unsettled]);
}

/**
 * Removes and returns the starts that are kept for the next incarnation of a target.
 * @param state - the owner's state
 * @param targetId - the target
 * @returns the starts; empty when none are kept
 */
export function takeUnsettledStarts(state: OwnerState, targetId: string): readonly TargetRun[] {
  const kept = state.unsettledStarts.get(targetId) ?? [];
  state.unsettledStarts.delete(targetId);
  return kept;
}

/**
 * Drops the starts that are kept for a target which has not returned in time, and their runs.
 * @param state - the owner's state
 * @param targetId - the target
 * @returns the dropped starts
 */
export function dropUnsettledStarts(state: OwnerState, targetId: string): readonly TargetRun[] {
  const kept = takeUnsettledStarts(state, targetId);
  for (const { task, run } of kept) {
    const position = task.runs.indexOf(run);
    if (position >= 0) task.runs.splice(position, 1);
  }
  return kept;
}
