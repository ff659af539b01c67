/**
 * Handles the reports of targets: progress, unexpected runs, and ends of runs. Ends are stored before they are
 * acknowledged.
 * @packageDocumentation
 */
import { noteSuccess, type Job, type Task, type TaskRun } from "../jobs/index.js";
import { mostEndsListed, type PresentRun, type RunEnd, type TargetReport } from "../task-runs/index.js";
import { isTaskOver, removeRun, type OwnerState } from "./owner-state.js";
import type { PoolTarget, TargetRun } from "./pool-target.js";
import { storeProgress } from "./job-progress.js";
import { learnEnd, learnProgress } from "./run-learning.js";
import { describeRunTime, describeVanished } from "./run-trace.js";

/** A failed run raises the target's failure score, and a successful one lowers it. */
const failureScorePerFailure = 1;
const failureScoreFactorPerSuccess = 0.5;
const unexpectedRunStopTimeoutMilliseconds = 500;

/**
 * Handles a target's report.
 * @param state - the owner's state
 * @param target - the target
 * @param report - the report
 * @param freshEnds - the ends that earlier reports to this session did not contain
 * @param requestSentAt - when the report was requested, by the monotonic clock
 */
export function handleReport(
  state: OwnerState,
  target: PoolTarget,
  report: TargetReport,
  freshEnds: readonly RunEnd[],
  requestSentAt: number,
): void {
  const present = new Set(report.present.map(({ task }) => task));
  const reportGap = requestSentAt - (target.reportedAt ?? requestSentAt);
  target.reportedAt = performance.now();
  for (const each of report.present) handlePresentRun(state, target, each, report.clockMilliseconds);
  const ended = new Set(freshEnds.map(({ task }) => task));
  const changedJobs = new Set<Job>();
  for (const end of freshEnds) {
    const job = handleEnd(state, target, end, report.clockMilliseconds, reportGap);
    if (job !== undefined) changedJobs.add(job);
  }
  const listsAllEnds = report.ends.length < mostEndsListed;
  if (listsAllEnds)
    dropVanished(state, target, report, (name) => present.has(name) || ended.has(name), requestSentAt);
  acknowledgeStored(state, target, freshEnds, changedJobs);
  if (listsAllEnds && state.awaitedTargets.delete(target.session.targetId))
    state.log.write("info", "inherited-target-known", {
      pool: state.pool,
      target: target.session.targetId,
      process: report.startedAtUnix,
      present: present.size,
      left: state.awaitedTargets.size(),
    });
  if (freshEnds.length > 0 || present.size === 0) state.wake();
}

function handlePresentRun(
  state: OwnerState,
  target: PoolTarget,
  present: PresentRun,
  targetClock: number,
): void {
  const task = state.tasks.get(present.task);
  const known = target.runs.get(present.task);
  if (task !== undefined && known?.run.run === present.run) {
    updateRun(known, present);
    learnProgress(state, task, known.run, targetClock);
    return;
  }
  if (task !== undefined && !isTaskOver(task) && task.runs.length === 0) {
    adoptRun(state, target, task, present);
    return;
  }
  stopUnexpectedRun(state, target, present);
}

/**
 * Marks a run that a target reports as started.
 * @param shown - the run
 */
export function confirmShown({ task, run }: TargetRun): void {
  run.isListed = true;
  if (run.status === "running" || run.status === "stopping") return;
  run.status = "running";
  run.confirmedAt ??= performance.now();
  task.job.hasStarted = true;
}

function updateRun(known: TargetRun, present: PresentRun): void {
  const { task, run } = known;
  confirmShown(known);
  if (run.percent !== present.percent) run.progressedAt = performance.now();
  run.percent = present.percent;
  run.usage = present.usage;
  if (present.checkpoint !== "") task.checkpoint = present.checkpoint;
}

/** Adopts a run that an earlier owner started. */
function adoptRun(state: OwnerState, target: PoolTarget, task: Task, present: PresentRun): void {
  const now = performance.now();
  const run: TaskRun = {
    targetId: target.session.targetId,
    run: present.run,
    startedAt: now,
    isWhole: false,
    status: "running",
    confirmedAt: now,
    isListed: true,
    stopRequestedAt: undefined,
    stopConfirmedAt: undefined,
    percent: present.percent,
    progressedAt: now,
    pacePercent: 100,
    usage: present.usage,
  };
  task.runs.push(run);
  // No other run of the task can exist: the earlier owner restarted a task only after its previous run had ended.
  task.isAccountedFor = true;
  task.lastRun = Math.max(task.lastRun, present.run);
  task.job.hasStarted = true;
  if (present.checkpoint !== "") task.checkpoint = present.checkpoint;
  target.runs.set(task.name, { task, run });
  state.log.write("info", "run-adopted", { task: task.name, run: run.run, target: run.targetId });
}

/** Stops a run that this owner neither started nor can adopt. */
function stopUnexpectedRun(state: OwnerState, target: PoolTarget, { task, run }: PresentRun): void {
  state.log.write("info", "run-stray", { task, run, target: target.session.targetId });
  void state.orders.stop({
    target: target.session.target(),
    timeoutMilliseconds: unexpectedRunStopTimeoutMilliseconds,
    task,
    run,
  });
}

/** Handles one end of a run; returns the job whose progress has to be stored, or undefined when there is none. */
function handleEnd(
  state: OwnerState,
  target: PoolTarget,
  end: RunEnd,
  targetClock: number,
  reportGapMilliseconds: number,
): Job | undefined {
  const task = state.tasks.get(end.task);
  const known = target.runs.get(end.task);
  if (known?.run.run === end.run) removeRun(state, target, known);
  state.metrics.count("run_ends_total", { pool: state.pool, kind: end.kind });
  state.log.write("info", "run-ended", {
    task: end.task,
    run: end.run,
    target: target.session.targetId,
    kind: end.kind,
    sequence: end.sequence,
    ...describeRunTime(known, targetClock, reportGapMilliseconds),
  });
  if (task === undefined) return undefined;
  task.lastRun = Math.max(task.lastRun, end.run);
  if (end.checkpoint !== "") task.checkpoint = end.checkpoint;
  if (end.kind === "succeeded") {
    learnEnd(state, task, known?.run, targetClock, reportGapMilliseconds);
    return handleSuccess(target, task);
  }
  if (end.kind === "failed") return handleFailure(target, task, end.run);
  return undefined;
}

function handleSuccess(target: PoolTarget, task: Task): Job | undefined {
  const { job, definition } = task;
  target.failureScore *= failureScoreFactorPerSuccess;
  if (job.finalState !== undefined) return undefined;
  noteSuccess(task);
  // Returned also for an end that is listed again, so that it is acknowledged only after the job's progress is stored.
  return definition.isLasting ? undefined : job;
}

function handleFailure(target: PoolTarget, task: Task, run: number): Job | undefined {
  const isCounted = task.failedRuns.includes(run);
  if (!isCounted) target.failureScore += failureScorePerFailure;
  if (task.definition.isLasting || task.job.finalState !== undefined) return undefined;
  if (isCounted || isTaskOver(task)) return task.job;
  task.failures += 1;
  task.failedRuns.push(run);
  return task.job;
}

/**
 * Drops runs that are missing from a report although the target had confirmed their start or stop before the report was
 * requested.
 */
function dropVanished(
  state: OwnerState,
  target: PoolTarget,
  report: TargetReport,
  isAccountedFor: (taskName: string) => boolean,
  requestSentAt: number,
): void {
  for (const each of target.runs.values()) {
    if (isAccountedFor(each.task.name)) continue;
    const { confirmedAt, stopConfirmedAt } = each.run;
    const provedAt = Math.min(confirmedAt ?? Infinity, stopConfirmedAt ?? Infinity);
    if (provedAt >= requestSentAt) continue;
    state.log.write("info", "run-vanished", {
      task: each.task.name,
      run: each.run.run,
      target: each.run.targetId,
      ...describeVanished(each.run, report, requestSentAt, performance.now()),
    });
    removeRun(state, target, each);
    state.wake();
  }
}

/** Stores the progress of the changed jobs and then acknowledges the ends, in the order of the reports. */
function acknowledgeStored(
  state: OwnerState,
  target: PoolTarget,
  ends: readonly RunEnd[],
  changedJobs: ReadonlySet<Job>,
): void {
  const writes = [...changedJobs].map(async (job) => storeProgress(state, job));
  const highest = ends.reduce((most, { sequence }) => Math.max(most, sequence), target.handledSequence);
  if (highest === target.handledSequence) return;
  target.handledSequence = highest;
  const previous = target.session;
  target.acknowledging = target.acknowledging.then(async () => {
    const results = await Promise.all(writes);
    if (results.every((isStored) => isStored)) previous.acknowledge(highest);
  });
}
