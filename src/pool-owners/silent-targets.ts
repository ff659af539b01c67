/**
 * Asks targets again that have been silent for longer than what runs there lets expect. Answers renewals that are lost
 * or carried out seconds late: the ends of all runs on the target are received late with them, and the next steps wait.
 * @packageDocumentation
 */
import type { OwnerState, PoolTarget, TargetRun } from "./owner-state.js";

/** A target that answers at all answers within this time. */
const minimumSilenceMilliseconds = 200;
/** A run that is over for so long should have been learned of. */
const endDelayMilliseconds = 100;
/** What is expected of a run that goes on although it was expected to have ended: so much of what it has run already. */
const overdueSilenceShare = 0.25;

/**
 * Asks a target again whose news are overdue.
 * @param state - the owner
 * @param target - the target
 * @param now - the monotonic clock
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
