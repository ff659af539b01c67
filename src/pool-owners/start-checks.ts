/**
 * Checks on a target what became of starts without an answer. A run that the target reports continues. A run that it does
 * not report has to be stopped, because the target may still carry out the start.
 * @packageDocumentation
 */
import type { RunEnd, TargetReport } from "../task-runs/index.js";
import { isTaskOver, type OwnerState } from "./owner-state.js";
import type { PoolTarget, TargetRun } from "./pool-target.js";
import { confirmShown } from "./run-ends.js";
import { markStartUnanswered } from "./unsettled-starts.js";

/**
 * A start without an answer is checked after this time, so that the result does not have to wait until the order runs into
 * its timeout.
 */
const answerTimeoutMilliseconds = 300;
const checkTimeoutMilliseconds = 700;
const repeatMilliseconds = 500;

/**
 * Checks the starts of a target that have no answer.
 * @param state - the owner's state
 * @param target - the target
 * @param onSettled - called after the target has answered a check, or has failed to answer it
 */
export function checkStarts(state: OwnerState, target: PoolTarget, onSettled: () => void): void {
  const now = performance.now();
  for (const each of target.runs.values())
    if (isAnswerOverdue(each, now)) markStartUnanswered(state, target, each);
  const due = [...target.runs.values()].filter((each) => needsCheck(each, now));
  if (due.length === 0) return;
  for (const { run } of due) run.startCheckedAt = now;
  void checkTarget(state, target, due).then(onSettled);
}

/** Excludes long-running tasks: their start is sent only after their place is stored, which may take longer. */
function isAnswerOverdue({ task, run }: TargetRun, now: number): boolean {
  if (run.status !== "starting" || task.definition.isLasting) return false;
  return run.startedAt + answerTimeoutMilliseconds <= now;
}

function needsCheck({ task, run }: TargetRun, now: number): boolean {
  if (run.status !== "unresolved" || isTaskOver(task)) return false;
  return (run.startCheckedAt ?? -Infinity) + repeatMilliseconds <= now;
}

async function checkTarget(
  state: OwnerState,
  { session }: PoolTarget,
  runs: readonly TargetRun[],
): Promise<void> {
  const answer = await state.orders.renew({
    target: session.target(),
    acknowledgedSequence: 0,
    leaseUntilMilliseconds: undefined,
    waitMilliseconds: 0,
    timeoutMilliseconds: checkTimeoutMilliseconds,
  });
  answer.ifRight((report) => {
    if (report.startedAtUnix !== session.target().startedAtUnix) return;
    for (const each of runs) settleStart(each, report);
    // Ends are handled with the next report of the session, which is requested at once.
    session.hurry();
    session.requestAgain();
  });
}

function settleStart(each: TargetRun, report: TargetReport): void {
  const { task, run } = each;
  if (run.status !== "unresolved") return;
  const present = report.present.find((shown) => shown.task === task.name && shown.run === run.run);
  if (present !== undefined) confirmShown(each);
  else if (!report.ends.some((end) => isEndOf(end, each))) run.status = "missing";
}

function isEndOf(end: RunEnd, { task, run }: TargetRun): boolean {
  return end.task === task.name && end.run === run.run;
}
