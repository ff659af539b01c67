/**
 * Takes what targets report: progress, runs that nobody expected, and ends, which are stored before they are
 * acknowledged.
 * @packageDocumentation
 */
import { noteSuccess, type Job, type Task, type TaskRun } from "../jobs/index.js";
import { mostEndsListed, type PresentRun, type RunEnd, type TargetReport } from "../task-runs/index.js";
import { isTaskOver, removeRun, type OwnerState, type PoolTarget, type TargetRun } from "./owner-state.js";
import { storeProgress } from "./job-progress.js";
import { learnEnd, learnProgress } from "./run-learning.js";
import { describeRunTime, describeVanished } from "./run-trace.js";

/** A target is trusted less after a failure, and more after a success. */
const distrustPerFailure = 1;
const distrustKeptBySuccess = 0.5;
const strayStopTimeoutMilliseconds = 500;

/**
 * Takes a target's report.
 * @param state - the owner
 * @param target - the target
 * @param report - what it reported
 * @param freshEnds - the ends that it had not reported before
 * @param requestSentAt - when the report was asked for, by the monotonic clock
 */
export function takeReport(
  state: OwnerState,
  target: PoolTarget,
  report: TargetReport,
  freshEnds: readonly RunEnd[],
  requestSentAt: number,
): void {
  const present = new Set(report.present.map(({ task }) => task));
  const reportGap = requestSentAt - (target.reportedAt ?? requestSentAt);
  target.reportedAt = performance.now();
  for (const each of report.present) takePresent(state, target, each, report.clockMilliseconds);
  const ended = new Set(freshEnds.map(({ task }) => task));
  const touched = new Set<Job>();
  for (const end of freshEnds) {
    const job = takeEnd(state, target, end, report.clockMilliseconds, reportGap);
    if (job !== undefined) touched.add(job);
  }
  const listsAllEnds = report.ends.length < mostEndsListed;
  if (listsAllEnds)
    dropVanished(state, target, report, (name) => present.has(name) || ended.has(name), requestSentAt);
  acknowledgeStored(state, target, freshEnds, touched);
  if (listsAllEnds && state.awaitedTargets.delete(target.session.targetId))
    state.log.write("info", "inherited-target-known", {
      pool: state.pool,
      target: target.session.targetId,
      present: present.size,
      left: state.awaitedTargets.size,
    });
  if (freshEnds.length > 0 || present.size === 0) state.wake();
}

function takePresent(state: OwnerState, target: PoolTarget, present: PresentRun, targetClock: number): void {
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
  stopStray(state, target, present);
}

/**
 * Notes that a target shows a run: its start was carried out.
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

/** Takes over a run that an earlier owner started. */
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
  // An earlier owner started a task again only after the run before was over.
  task.isAccountedFor = true;
  task.lastRun = Math.max(task.lastRun, present.run);
  task.job.hasStarted = true;
  if (present.checkpoint !== "") task.checkpoint = present.checkpoint;
  target.runs.set(task.name, { task, run });
  state.log.write("info", "run-adopted", { task: task.name, run: run.run, target: run.targetId });
}

/** Stops a run that must not be there. */
function stopStray(state: OwnerState, target: PoolTarget, { task, run }: PresentRun): void {
  state.log.write("info", "run-stray", { task, run, target: target.session.targetId });
  void state.orders.stop({
    target: target.session.target(),
    fencingToken: state.fencingToken,
    timeoutMilliseconds: strayStopTimeoutMilliseconds,
    task,
    run,
  });
}

/** Takes one end; returns the job whose progress has to be stored. */
function takeEnd(
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
    return takeSuccess(target, task);
  }
  if (end.kind === "failed") return takeFailure(target, task, end.run);
  return undefined;
}

function takeSuccess(target: PoolTarget, task: Task): Job | undefined {
  const { job, definition } = task;
  target.failureScore *= distrustKeptBySuccess;
  if (job.finalState !== undefined) return undefined;
  noteSuccess(task);
  // An end that was not acknowledged is listed again; it is not before the job's progress is stored with it.
  return definition.isLasting ? undefined : job;
}

function takeFailure(target: PoolTarget, task: Task, run: number): Job | undefined {
  const isCounted = task.failedRuns.includes(run);
  if (!isCounted) target.failureScore += distrustPerFailure;
  if (task.definition.isLasting || task.job.finalState !== undefined) return undefined;
  if (isCounted || isTaskOver(task)) return task.job;
  task.failures += 1;
  task.failedRuns.push(run);
  return task.job;
}

/** Drops runs that a report would have to show if they were there. */
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

/** Stores the progress of jobs and acknowledges the ends that brought it. */
function acknowledgeStored(
  state: OwnerState,
  target: PoolTarget,
  ends: readonly RunEnd[],
  touched: ReadonlySet<Job>,
): void {
  const writes = [...touched].map(async (job) => storeProgress(state, job));
  const highest = ends.reduce((most, { sequence }) => Math.max(most, sequence), target.handledSequence);
  if (highest === target.handledSequence) return;
  target.handledSequence = highest;
  const previous = target.session;
  target.acknowledging = target.acknowledging.then(async () => {
    const results = await Promise.all(writes);
    if (results.every((isStored) => isStored)) previous.acknowledge(highest);
  });
}
