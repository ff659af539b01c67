/**
 * Requests another report from targets that have been silent although one of their runs should have ended. This handles
 * renewals that are lost or carried out seconds late: they would delay the ends of all runs on the target, and with them
 * the next steps.
 * @packageDocumentation
 */
import type { OwnerState } from "./owner-state.js";
import type { PoolTarget, TargetRun } from "./pool-target.js";

/** Shorter silences are normal: a reachable target answers within this time. */
const minimumSilenceMilliseconds = 200;
/** The end of a run should be received within this time after the run's expected end. */
const endDelayMilliseconds = 100;
/**
 * A run that exceeds its expected time is queried again only after a silence of this share of its elapsed time, because
 * it may simply take longer than expected.
 */
const overdueSilenceShare = 0.25;

/**
 * Requests another report from a target if the end of one of its runs is overdue.
 * @param state - the owner's state
 * @param target - the target
 * @param now - the current time by the monotonic clock, in milliseconds
 */
export function querySilentTarget(state: OwnerState, { session, runs }: PoolTarget, now: number): void {
  const silence = session.silentMilliseconds();
  if (silence < minimumSilenceMilliseconds) return;
  for (const each of runs.values()) {
    if (!isOverdue(state, each, now, silence)) continue;
    session.requestAgain();
    return;
  }
}

function isOverdue(state: OwnerState, { task, run }: TargetRun, now: number, silence: number): boolean {
  const { definition, job } = task;
  if (definition.isLasting || run.confirmedAt === undefined) return false;
  const expected = state.runTimes.ofQueue(job.record.terms.queue).task(definition);
  const elapsed = now - run.startedAt;
  const overdue = elapsed - expected - endDelayMilliseconds;
  return overdue > 0 && silence >= overdueSilenceShare * elapsed;
}
