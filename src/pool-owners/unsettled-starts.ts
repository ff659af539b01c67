/**
 * Starts of a target that has started again under its identifier: the new life knows nothing of fencing tokens or stops
 * before. It may have taken a start that was meant for the life before, or may still do so; such a start is looked for,
 * or stopped, there before the task starts elsewhere.
 * @packageDocumentation
 */
import type { OwnerState, PoolTarget, TargetRun, UnansweredStart } from "./owner-state.js";

const maximumUnanswered = 200;
/** An order without an answer may be carried out so much later by a life that does not know its lease. */
const rememberedMilliseconds = 15_000;
const stopTimeoutMilliseconds = 700;

/** A target is used less for a while after it left a start without an answer. */
const distrustPerStart = 1;

/**
 * Notes that a start has brought no answer for so long that it may be lost.
 * @param state - the owner
 * @param target - where it was asked for
 * @param started - the run
 */
export function doubtStart(state: OwnerState, target: PoolTarget, { task, run }: TargetRun): void {
  run.status = "unresolved";
  noteUnansweredStart(state, run.targetId, { task: task.name, run: run.run, startedAt: run.startedAt });
  target.failureScore += distrustPerStart;
}

/**
 * Remembers a start that brought no answer.
 * @param state - the owner
 * @param targetId - where it was asked for
 * @param start - the start
 */
export function noteUnansweredStart(state: OwnerState, targetId: string, start: UnansweredStart): void {
  const earlier = state.unansweredStarts.get(targetId) ?? [];
  state.unansweredStarts.set(targetId, [...earlier, start].slice(-maximumUnanswered));
}

/**
 * Asks a new life to refuse late starts that were stopped in the life before it, which it knows nothing of.
 * @param state - the owner
 * @param target - the new life
 */
export function refuseLateStarts(state: OwnerState, target: PoolTarget): void {
  const { unansweredStarts, orders, fencingToken, log, pool } = state;
  const { targetId } = target.session;
  const oldest = performance.now() - rememberedMilliseconds;
  const recent = (unansweredStarts.get(targetId) ?? []).filter(({ startedAt }) => startedAt > oldest);
  unansweredStarts.set(targetId, recent);
  if (recent.length === 0) unansweredStarts.delete(targetId);
  for (const { task, run } of recent) {
    if (target.runs.has(task)) continue;
    log.write("info", "late-start-refused", { pool, task, run, target: targetId });
    void orders.stop({
      target: target.session.target(),
      fencingToken,
      timeoutMilliseconds: stopTimeoutMilliseconds,
      task,
      run,
    });
  }
}

/**
 * Keeps the starts that no report of a life showed, which is over now, for the next one.
 * @param state - the owner
 * @param target - the target, whose life is over
 * @param lateOrderMilliseconds - an order that is so old is carried out no more
 */
export function keepUnsettledStarts(
  state: OwnerState,
  { session, runs }: PoolTarget,
  lateOrderMilliseconds: number,
): void {
  const { unsettledStarts } = state;
  const { targetId } = session;
  const unsettled = [...runs.values()].filter(({ run }) => !run.isListed);
  if (unsettled.length === 0) return;
  for (const { task, run } of unsettled) {
    runs.delete(task.name);
    if (run.confirmedAt !== undefined) continue;
    run.status = "unresolved";
    run.lookedForAt = undefined;
    run.stopRequestedAt = undefined;
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
 * Takes the unsettled starts that the next life of a target has to be asked to stop.
 * @param state - the owner
 * @param targetId - the target
 * @returns the starts, no longer kept
 */
export function takeUnsettledStarts(state: OwnerState, targetId: string): readonly TargetRun[] {
  const kept = state.unsettledStarts.get(targetId) ?? [];
  state.unsettledStarts.delete(targetId);
  return kept;
}

/** The target did not come back. */
function forgetUnsettledStarts(state: OwnerState, targetId: string, kept: readonly TargetRun[]): void {
  if (state.unsettledStarts.get(targetId) !== kept) return;
  state.unsettledStarts.delete(targetId);
  for (const { task, run } of kept) {
    const position = task.runs.indexOf(run);
    if (position >= 0) task.runs.splice(position, 1);
  }
  state.wake();
}
