/**
 * Starts runs on targets and handles the outcomes of the start orders.
 * @packageDocumentation
 */
import type { Task, TaskRun } from "../jobs/index.js";
import type { OrderOutcome, OrderRefusal } from "../task-runs/index.js";
import type { LogFields } from "../telemetry/index.js";
import { isTaskOver, removeRun, type OwnerState } from "./owner-state.js";
import { isRecordedInUse, type PoolTarget, type TargetRun } from "./pool-target.js";
import { storePlaces } from "./job-progress.js";
import { describeDroppedRun } from "./release-trace.js";
import { describeAnswer } from "./run-trace.js";
import { stepKey } from "./target-views.js";
import { describeStartBasis, findUnseenRunBasis } from "./unseen-runs.js";
import { markStartUnanswered } from "./unsettled-starts.js";

const startTimeoutMilliseconds = 800;
/** No further run is started on a target for this long after it refused a start, by the reason of the refusal. */
const blockMilliseconds: Readonly<Partial<Record<OrderRefusal, number>>> = {
  "no-room": 100,
  unhealthy: 1_000,
  "other-instance": 1_000,
  "not-connected": 500,
  "too-late": 200,
};
const failureScorePerRefusal = 1;
/** A malformed start would be refused again, so that the task is retried only after this time. */
const malformedWaitMilliseconds = 10_000;
/** Added to the run number after a target refused it because it has seen a higher one. */
const runNumberIncrement = 16;

/** A run that is being started. */
interface Start extends TargetRun {
  /** Proves to the target that it may run the task's step; undefined where no ticket is needed. */
  readonly ticket: string | undefined;
  /** Log fields about why the task may be started. */
  readonly basis: LogFields;
}

/**
 * Starts a run. The outcome of the order is handled when it arrives.
 * @param state - the owner's state
 * @param task - the task
 * @param runNumber - the run's number, higher than those of all earlier runs of the task
 * @param targetId - the target; nothing is started if it has no session
 * @param ticket - proves to the target that it may run the task's step; undefined where no ticket is needed
 */
export function startRun(
  state: OwnerState,
  task: Task,
  runNumber: number,
  targetId: string,
  ticket: string | undefined,
): void {
  const target = state.targets.get(targetId);
  if (target === undefined) return;
  const now = performance.now();
  const basis = describeStartBasis(state, task);
  if (task.job.formerRevision !== undefined) countFormerStart(state, task);
  const run: TaskRun = {
    targetId,
    run: runNumber,
    startedAt: now,
    isWhole: task.checkpoint === "",
    status: "starting",
    confirmedAt: undefined,
    isListed: false,
    stopRequestedAt: undefined,
    stopConfirmedAt: undefined,
    percent: 0,
    progressedAt: now,
    pacePercent: 100,
    usage: 0,
  };
  task.lastRun = runNumber;
  task.runs.push(run);
  target.runs.set(task.name, { task, run });
  const started: Start = { task, run, ticket, basis };
  if (!task.definition.isLasting) {
    sendStart(state, target, started);
    return;
  }
  // The place has to be stored first: a next owner searches for the task only on its stored places.
  task.recordedPlaces = task.runs.map((each) => each.targetId);
  void storePlaces(state, task.job).then((isStored) => {
    if (isStored) sendStart(state, target, started);
    else removeRun(state, target, started);
  });
}

/** Counts a start of a task of a job that an earlier owner accepted. */
function countFormerStart(state: OwnerState, task: Task): void {
  state.metrics.count("former_job_starts_total", {
    pool: state.pool,
    basis: findUnseenRunBasis(state, task),
  });
}

function sendStart(state: OwnerState, target: PoolTarget, started: Start): void {
  const { task, run, ticket } = started;
  // The run may have been removed, or the target replaced, while the place was being stored.
  if (target.runs.get(task.name)?.run !== run) return;
  // A next owner would not wait for a run on a target that the takeover state does not list as in use.
  const maySend = isRecordedInUse(target) && !isTaskOver(task) && state.isActive();
  const leaseUntilMilliseconds = maySend ? target.session.nextLeaseEnd() : undefined;
  if (leaseUntilMilliseconds === undefined) {
    removeRun(state, target, started);
    return;
  }
  const order = {
    target: target.session.target(),
    timeoutMilliseconds: startTimeoutMilliseconds,
    task: task.name,
    run: run.run,
    spec: task.job.record.definition.spec,
    leaseUntilMilliseconds,
    checkpoint: task.checkpoint,
    ticket,
  };
  const requestSentAt = performance.now();
  void state.orders.start(order).then((outcome) => {
    handleStartOutcome(state, target, started, outcome, requestSentAt);
  });
}

function handleStartOutcome(
  state: OwnerState,
  target: PoolTarget,
  started: Start,
  outcome: OrderOutcome,
  requestSentAt: number,
): void {
  const { task, run } = started;
  const reason = outcome.kind === "refused" ? outcome.reason : undefined;
  state.metrics.count("run_starts_total", { pool: state.pool, result: reason ?? outcome.kind });
  state.metrics.observe("run_start_milliseconds", performance.now() - run.startedAt, {
    result: outcome.kind,
  });
  state.log.write("info", "start-order", {
    task: task.name,
    run: run.run,
    target: run.targetId,
    result: reason ?? outcome.kind,
    waited: Math.round(run.startedAt - task.job.acceptedAt),
    isAwaited: target.runs.get(task.name)?.run === run && run.status === "starting",
    ...describeAnswer(outcome, requestSentAt, performance.now()),
    ...describeDroppedRun(started),
    ...started.basis,
  });
  if (outcome.kind === "done") confirmStart(target, started, outcome.clockMilliseconds, requestSentAt);
  if (outcome.kind === "unknown" && run.status === "starting") markStartUnanswered(state, target, started);
  if (reason !== undefined) handleRefusal(state, target, started, reason);
}

function confirmStart(
  target: PoolTarget,
  { task, run }: TargetRun,
  clockMilliseconds: number,
  requestSentAt: number,
): void {
  const now = performance.now();
  if (!target.session.checkProcess(clockMilliseconds, requestSentAt))
    target.session.noteClock(clockMilliseconds, now);
  run.confirmedAt ??= now;
  run.targetStartedAt ??= clockMilliseconds;
  if (run.status === "starting") run.status = "running";
  task.job.hasStarted = true;
}

function handleRefusal(
  state: OwnerState,
  target: PoolTarget,
  started: TargetRun,
  reason: OrderRefusal,
): void {
  const { task } = started;
  removeRun(state, target, started);
  const block = blockMilliseconds[reason];
  if (block !== undefined) target.blockedUntil = performance.now() + block;
  if (reason === "unhealthy") target.failureScore += failureScorePerRefusal;
  // The target would reject the same ticket again.
  if (reason === "ticket") state.advice.access(stepKey(task)).forget(started.run.targetId);
  if (reason === "old-run") task.lastRun += runNumberIncrement;
  if (reason === "malformed") task.notBefore = performance.now() + malformedWaitMilliseconds;
  if (reason === "fenced") state.supersede("a target has seen a higher fencing token");
  state.wake();
}
