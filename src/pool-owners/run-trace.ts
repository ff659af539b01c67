/**
 * Log fields about a run, which show on what data its owner based a decision.
 * @packageDocumentation
 */
import type { TaskRun } from "../jobs/index.js";
import type { OrderOutcome, TargetReport } from "../task-runs/index.js";
import type { LogFields } from "../telemetry/index.js";
import type { TargetRun } from "./pool-target.js";

/**
 * Describes a run that is missing from a report.
 * @param run - the owner's record of the run
 * @param report - the report
 * @param requestSentAt - when the report was requested, by the monotonic clock
 * @param now - when the report is handled, by the monotonic clock
 * @returns the ages of the run's events in milliseconds, undefined for events that have not occurred, and the sizes of the
 * report's lists
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
 * Describes how long a run took.
 * @param ended - the run; undefined when the owner has no record of it
 * @param targetClock - the target's clock when it listed the end
 * @param reportGapMilliseconds - time from the target's previous report to the request for this one
 * @returns the run's duration by its target's clock, the duration projected from its progress, and the caller's estimate,
 * in milliseconds; empty for long-running tasks and runs without a record
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
 * Describes the outcome of an order.
 * @param outcome - the outcome
 * @param requestSentAt - when the order was passed to the order sender, by the monotonic clock
 * @param now - when its answer is handled, by the monotonic clock
 * @returns the time until the answer and, if it was long, the time in the send queue, in milliseconds; also the reason if
 * there is no answer
 */
export function describeAnswer(outcome: OrderOutcome, requestSentAt: number, now: number): LogFields {
  const { queueMilliseconds } = outcome;
  return {
    answerMilliseconds: Math.round(now - requestSentAt),
    queueMilliseconds: queueMilliseconds === undefined ? undefined : Math.round(queueMilliseconds),
    message: outcome.kind === "unknown" ? outcome.message : undefined,
  };
}
