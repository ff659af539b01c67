/**
 * Log fields about the decision that the runs on a target have ended, so that their tasks may run again elsewhere.
 * @packageDocumentation
 */
import type { SessionEndReason } from "../task-runs/index.js";
import type { LogFields } from "../telemetry/index.js";
import type { OwnerState } from "./owner-state.js";
import type { PoolTarget, TargetRun } from "./pool-target.js";

/**
 * Why all that was sent to a target is settled; `not-returned`: the next process that might have run it has not appeared in time.
 */
export type SettlementReason = Exclude<SessionEndReason, "replaced"> | "not-returned";

/** Why runs on a target have ended; `requested-lease-lapsed`: only long-running tasks of earlier owners are released. */
export type ReleaseReason = SessionEndReason | SettlementReason | "requested-lease-lapsed";

/** What a decision releases. */
export interface Release {
  /** Runs of this owner that count as ended. */
  readonly dropped: readonly TargetRun[];
  /** Whether tasks of earlier owners, whose runs this owner does not know, were held back because of the target. */
  readonly isAwaited: boolean;
  /** Number of runs that are still waited for. */
  readonly kept: number;
}

/**
 * Logs that tasks may run again elsewhere, and notes it on the tasks whose runs are dropped.
 * @param state - the owner
 * @param target - the target of the runs
 * @param reason - why its runs have ended
 * @param release - what is released; nothing is logged of a release of nothing
 */
export function reportRelease(
  { log, pool }: Pick<OwnerState, "log" | "pool">,
  target: PoolTarget,
  reason: ReleaseReason,
  release: Release,
): void {
  for (const each of release.dropped) noteDroppedRun(each, reason);
  if (release.dropped.length === 0 && !release.isAwaited) return;
  log.write("info", "target-runs-released", { pool, ...describeRelease(target, reason, release) });
}

/**
 * Describes what a release rests on.
 * @param target - the target
 * @param reason - why its runs have ended
 * @param release - what is released
 * @returns the process that was believed to have the runs, the age of its last answer, the end of its lease relative to now
 * (positive once it has passed) and how that was worked out, in milliseconds, and numbers of runs
 */
export function describeRelease(
  { session }: PoolTarget,
  reason: ReleaseReason,
  { dropped, isAwaited, kept }: Release,
): LogFields {
  const now = performance.now();
  const basis = session.leaseBasis();
  return {
    target: session.targetId,
    reason,
    process: session.target().startedAtUnix,
    answeredAgo: ageOf(session.answeredAt(), now),
    leaseEndedAgo: basis === "none" ? undefined : Math.round(now - session.leaseLapsesAt()),
    leaseBasis: basis,
    runs: dropped.length,
    unlisted: dropped.filter(({ run }) => !run.isListed).length,
    kept,
    isAwaited,
  };
}

/**
 * Notes on a task which of its runs counts as ended, so that the next start names it.
 * @param dropped - the run
 * @param reason - why it has ended
 */
export function noteDroppedRun({ task, run }: TargetRun, reason: ReleaseReason): void {
  task.droppedRun = { run: run.run, targetId: run.targetId, reason };
}

/**
 * Describes the earlier run of a task that a start follows.
 * @param started - the run that is started
 * @returns the run's number, target and end; undefined fields when the owner has dropped no run of the task
 */
export function describeDroppedRun({ task: { droppedRun } }: TargetRun): LogFields {
  return { afterRun: droppedRun?.run, afterTarget: droppedRun?.targetId, afterReason: droppedRun?.reason };
}

function ageOf(at: number | undefined, now: number): number | undefined {
  return at === undefined ? undefined : Math.round(now - at);
}
