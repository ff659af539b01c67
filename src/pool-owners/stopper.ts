/**
 * Stops runs that are no longer wanted, and unanswered starts that their target does not report. Stop orders are repeated
 * until the target has confirmed them.
 * @packageDocumentation
 */
import { isTaskOver, type OwnerState } from "./owner-state.js";
import type { PoolTarget, TargetRun } from "./pool-target.js";
import { describeAnswer } from "./run-trace.js";
import { querySilentTarget } from "./silent-targets.js";
import { checkStarts } from "./start-checks.js";

const stopTimeoutMilliseconds = 700;
const repeatMilliseconds = 500;

/**
 * Sends all stop orders that are due. Before that, checks unanswered starts and queries silent targets.
 * @param state - the owner's state
 */
export function stopUnwanted(state: OwnerState): void {
  if (!state.isActive()) return;
  const now = performance.now();
  for (const target of state.targets.values()) {
    checkStarts(state, target, () => {
      stopUnwanted(state);
    });
    querySilentTarget(state, target, now);
    for (const each of target.runs.values()) {
      if (!needsStop(each)) continue;
      const { stopRequestedAt, stopConfirmedAt } = each.run;
      if (stopConfirmedAt !== undefined || (stopRequestedAt ?? -Infinity) + repeatMilliseconds > now)
        continue;
      each.run.stopRequestedAt = now;
      void stopRun(state, target, each);
    }
  }
}

function needsStop({ task, run }: TargetRun): boolean {
  if (run.status === "stopping" || run.status === "missing") return true;
  return isTaskOver(task) && run.status !== "starting";
}

async function stopRun(state: OwnerState, target: PoolTarget, { task, run }: TargetRun): Promise<void> {
  const requestSentAt = performance.now();
  const outcome = await state.orders.stop({
    target: target.session.target(),
    timeoutMilliseconds: stopTimeoutMilliseconds,
    task: task.name,
    run: run.run,
  });
  const result = outcome.kind === "refused" ? outcome.reason : outcome.kind;
  state.log.write("info", "stop-order", {
    task: task.name,
    run: run.run,
    target: run.targetId,
    result,
    ...describeAnswer(outcome, requestSentAt, performance.now()),
  });
  // A new incarnation of the target has no record of this stop and may still carry out the start.
  const isSameIncarnation = state.targets.get(run.targetId) === target;
  if (outcome.kind === "done" && isSameIncarnation) {
    run.stopConfirmedAt = performance.now();
    // Only a report that was requested after the stop proves that the run has ended.
    target.session.hurry();
    target.session.requestAgain();
  }
  if (result === "fenced") state.supersede("a target has seen a higher fencing token");
}
