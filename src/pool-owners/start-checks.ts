/**
 * Looks on a target for starts that brought no answer. A start that the target shows goes on; only one that it does not
 * show, and may carry out later, has to be stopped.
 * @packageDocumentation
 */
import type { RunEnd, TargetReport } from "../task-runs/index.js";
import { isTaskOver, type OwnerState, type PoolTarget, type TargetRun } from "./owner-state.js";
import { confirmShown } from "./run-ends.js";
import { markStartUnanswered } from "./unsettled-starts.js";

/** A start without an answer is looked for after this time: an order that is younger then tells what became of it. */
const answerTimeoutMilliseconds = 300;
const checkTimeoutMilliseconds = 700;
const repeatMilliseconds = 500;

/**
 * Looks for the starts of a target that brought no answer.
 * @param state - the owner
 * @param target - the target
 * @param onSettled - called once it is known of some what became of them
 */
export function checkStarts(state: OwnerState, target: PoolTarget, onSettled: () => void): void {
  const now = performance.now();
  for (const each of target.runs.values())
    if (isAnswerOverdue(each, now)) markStartUnanswered(state, target, each);
  const due = [...target.runs.values()].filter((each) => needsCheck(each, now));
  if (due.length === 0) return;
  for (const { run } of due) run.checkedAt = now;
  void checkTarget(state, target, due).then(onSettled);
}

/** Long-running tasks are started only once their place is stored, which may take longer. */
function isAnswerOverdue({ task, run }: TargetRun, now: number): boolean {
  if (run.status !== "starting" || task.definition.isLasting) return false;
  return run.startedAt + answerTimeoutMilliseconds <= now;
}

function needsCheck({ task, run }: TargetRun, now: number): boolean {
  if (run.status !== "unresolved" || isTaskOver(task)) return false;
  return (run.checkedAt ?? -Infinity) + repeatMilliseconds <= now;
}

async function checkTarget(
  state: OwnerState,
  { session }: PoolTarget,
  runs: readonly TargetRun[],
): Promise<void> {
  const answer = await state.orders.renew({
    target: session.target(),
    fencingToken: state.fencingToken,
    acknowledgedSequence: 0,
    leaseUntilMilliseconds: undefined,
    waitMilliseconds: 0,
    timeoutMilliseconds: checkTimeoutMilliseconds,
  });
  answer.ifRight((report) => {
    if (report.startedAtUnix !== session.target().startedAtUnix) return;
    for (const each of runs) settleStart(each, report);
    // The session's own report brings the ends.
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
