/**
 * What an owner tells of a run in its log, so that a later reader can see what the decision was taken on.
 * @packageDocumentation
 */
import type { TaskRun } from "../jobs/index.js";
import type { OrderOutcome, TargetReport } from "../task-runs/index.js";
import type { LogFields } from "../telemetry/index.js";
import type { TargetRun } from "./owner-state.js";

/**
 * Describes a run that a report does not show, as the owner knew it.
 * @param run - the run
 * @param report - the report
 * @param requestSentAt - when the report was asked for, by the monotonic clock
 * @param now - when it is handled, by the monotonic clock
 * @returns ages in milliseconds, and what the report held; ages of what has not been are left out
 */
export function describeVanished(
  run: TaskRun,
  report: TargetReport,
  requestSentAt: number,
  now: number,
): LogFields {
  const age = (at: number | undefined): number | undefined =>
    at === undefined ? undefined : Math.round(now - at);
  return {
    status: run.status,
    isListed: run.isListed,
    startedAgo: age(run.startedAt),
    confirmedAgo: age(run.confirmedAt),
    stopAskedAgo: age(run.stopRequestedAt),
    stopConfirmedAgo: age(run.stopConfirmedAt),
    reportAskedAgo: age(requestSentAt),
    present: report.present.length,
    ends: report.ends.length,
  };
}

/**
 * Describes how long a run has taken, as its owner learns from it.
 * @param ended - the run, undefined for one that the owner doesn't know
 * @param targetClock - the target's clock when it listed the end
 * @param unheardMilliseconds - for so long before it was asked for that, the target had told nothing
 * @returns the run's time by its target's clock when its end was received, what its progress told of it, and what the
 * caller had guessed, in milliseconds
 */
export function describeRunTime(
  ended: TargetRun | undefined,
  targetClock: number,
  reportGapMilliseconds: number,
): LogFields {
  if (ended === undefined || ended.task.definition.isLasting) return {};
  const { targetStartedAt, projectedMilliseconds } = ended.run;
  return {
    milliseconds: targetStartedAt === undefined ? undefined : Math.round(targetClock - targetStartedAt),
    projectedMilliseconds:
      projectedMilliseconds === undefined ? undefined : Math.round(projectedMilliseconds),
    estimateMilliseconds: Math.round(ended.task.definition.estimateMilliseconds),
    unheardMilliseconds: Math.round(reportGapMilliseconds),
  };
}

/**
 * Describes what an order brought.
 * @param outcome - what it brought
 * @param requestSentAt - when it was handed to its sender, by the monotonic clock
 * @param now - when its answer is handled, by the monotonic clock
 * @returns how long the answer took, how long the order waited where that was long, and why there is no answer
 */
export function describeAnswer(outcome: OrderOutcome, requestSentAt: number, now: number): LogFields {
  const { queueMilliseconds } = outcome;
  return {
    answerMilliseconds: Math.round(now - requestSentAt),
    queueMilliseconds: queueMilliseconds === undefined ? undefined : Math.round(queueMilliseconds),
    message: outcome.kind === "unknown" ? outcome.message : undefined,
  };
}
