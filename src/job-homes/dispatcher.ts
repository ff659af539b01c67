/**
 * Rounds of placing: goes through the jobs in their order and starts what has room.
 * @packageDocumentation
 */
import { isStepReady, type Job, type Occurrence, type Task, type TaskRun } from "../jobs/index.js";
import {
  chargedResources,
  chooseGangPlaces,
  choosePlace,
  compareJobs,
  isLastingJob,
  longestChainMilliseconds,
  subtract,
  takePlace,
  type OrderedJob,
  type StepPlace,
  type TargetView,
} from "../scheduling/index.js";
import type { OrderOutcome, OrderRefusal } from "../task-runs/index.js";
import type { AdviceBook } from "./advice-book.js";
import { isTaskOver, removeRun, type HomeState, type HomeTarget, type TargetRun } from "./home-state.js";

const startTimeoutMilliseconds = 800;
/** A target is left alone for a while after it refused, by why it did. */
const blockMilliseconds: Readonly<Partial<Record<OrderRefusal, number>>> = {
  "no-room": 100,
  unhealthy: 1_000,
  "other-instance": 1_000,
  "not-connected": 500,
  "too-late": 200,
};
const distrustPerRefusal = 1;
/** A task whose start was malformed is not tried again soon. */
const malformedWaitMilliseconds = 10_000;
/** A run number that a target takes for old is raised by so much. */
const runSkip = 16;

interface RankedJob extends OrderedJob {
  readonly job: Job;
}

/**
 * Starts all tasks that have room.
 * @param state - the home
 * @param advice - tells which targets may run a step
 */
export function dispatch(state: HomeState, advice: AdviceBook): void {
  if (!state.isActive()) return;
  const now = performance.now();
  const views = [...state.targets.values()].filter((target) => isUsable(target, now)).map(viewTarget);
  if (views.length === 0) return;
  const ranked = [...state.jobs.values()].filter(isOpen).map((job) => rankJob(state, job));
  ranked.sort((left, right) => compareJobs(left, right, now));
  for (const { job } of ranked) {
    for (const occurrence of job.occurrences.values())
      placeOccurrence(state, advice, job, occurrence, views, now);
  }
}

function isOpen(job: Job): boolean {
  return job.finalState === undefined && !job.isEnding;
}

function isUsable(target: HomeTarget, now: number): boolean {
  const { session } = target;
  return (
    target.isRecorded &&
    !target.isVacating &&
    target.blockedUntil <= now &&
    session.isKnown() &&
    session.isListed() &&
    session.failuresInARow() === 0 &&
    session.target().state === "ready"
  );
}

function viewTarget(target: HomeTarget): TargetView {
  const { capacity, labels, targetId } = target.session.target();
  let free = capacity;
  const stepCounts = new Map<string, number>();
  for (const { task } of target.runs.values()) {
    free = subtract(free, chargedResources(task.definition));
    const key = stepKey(task);
    stepCounts.set(key, (stepCounts.get(key) ?? 0) + 1);
  }
  // The first label is the kind, the second the rack.
  const rack = labels[1];
  return {
    targetId,
    rack,
    labels,
    capacity,
    free,
    stepCounts,
    runCount: target.runs.size,
    distrust: target.distrust,
  };
}

function stepKey({ job, occurrence, step }: Task): string {
  return `${job.id}.${occurrence}.${step}`;
}

function rankJob(state: HomeState, job: Job): RankedJob {
  const { definition, terms } = job.record;
  const ratio = state.runTimes.ratio(terms.queue);
  const chain = longestChainMilliseconds(definition, ratio);
  return {
    job,
    priority: terms.priority,
    isLasting: isLastingJob(definition),
    hasStarted: job.hasStarted,
    dueAt: job.acceptedAt + terms.slackFactor * chain + terms.objectiveMilliseconds,
    remainingMilliseconds: chain,
    acceptedAt: job.acceptedAt,
  };
}

function placeOccurrence(
  state: HomeState,
  advice: AdviceBook,
  job: Job,
  occurrence: Occurrence,
  views: readonly TargetView[],
  now: number,
): void {
  occurrence.steps.forEach((tasks, step) => {
    const first = tasks[0];
    if (first === undefined || !isStepReady(occurrence, step)) return;
    const idle = tasks.filter((task) => isIdle(state, task, now));
    if (idle.length === 0) return;
    const place: StepPlace = {
      stepKey: stepKey(first),
      definition: first.definition,
      racks: countRacks(state, tasks),
    };
    if (!job.record.terms.needsAdvice) {
      placeTasks(state, place, tasks, idle, views);
      return;
    }
    const tickets = advice.tickets(place.stepKey, views);
    if (tickets !== undefined) placeTasks(state, place, tasks, idle, views, tickets);
  });
}

function isIdle(state: HomeState, task: Task, now: number): boolean {
  if (isTaskOver(task) || task.runs.length > 0 || task.notBefore > now) return false;
  return state.awaited.size === 0 || !task.job.isInherited;
}

function countRacks(state: HomeState, tasks: readonly Task[]): Map<string, number> {
  const racks = new Map<string, number>();
  for (const { targetId } of tasks.flatMap(({ runs }) => runs)) {
    const rack = state.targets.get(targetId)?.session.target().labels[1];
    if (rack !== undefined) racks.set(rack, (racks.get(rack) ?? 0) + 1);
  }
  return racks;
}

function placeTasks(
  state: HomeState,
  place: StepPlace,
  tasks: readonly Task[],
  idle: readonly Task[],
  views: readonly TargetView[],
  tickets?: ReadonlyMap<string, string>,
): void {
  const isAllowed = (view: TargetView): boolean => tickets?.has(view.targetId) ?? true;
  if (place.definition.isGang) {
    if (idle.length < tasks.length) return;
    const chosen = chooseGangPlaces(place, tasks.length, views, isAllowed);
    const run = tasks.reduce((highest, { lastRun }) => Math.max(highest, lastRun), state.firstRun - 1) + 1;
    const checkpoint = tasks.find((task) => task.checkpoint !== "")?.checkpoint ?? "";
    chosen?.forEach((view, index) => {
      const task = tasks[index];
      if (task === undefined) return;
      task.checkpoint = checkpoint;
      startRun(state, task, run, view.targetId, tickets?.get(view.targetId));
    });
    return;
  }
  for (const task of idle) {
    const view = choosePlace(place, views, isAllowed);
    // The tasks of a step need the same room.
    if (view === undefined) return;
    takePlace(view, place);
    const run = Math.max(task.lastRun + 1, state.firstRun);
    startRun(state, task, run, view.targetId, tickets?.get(view.targetId));
  }
}

function startRun(
  state: HomeState,
  task: Task,
  runNumber: number,
  targetId: string,
  ticket: string | undefined,
): void {
  const target = state.targets.get(targetId);
  const leaseUntilMilliseconds = target?.session.nextLeaseEnd();
  if (target === undefined || leaseUntilMilliseconds === undefined) return;
  const now = performance.now();
  const run: TaskRun = {
    targetId,
    run: runNumber,
    startedAt: now,
    isWhole: task.checkpoint === "",
    status: "starting",
    confirmedAt: undefined,
    stopAskedAt: undefined,
    stopConfirmedAt: undefined,
    percent: 0,
    progressedAt: now,
    pacePercent: 100,
    usage: 0,
  };
  task.lastRun = runNumber;
  task.runs.push(run);
  target.runs.set(task.name, { task, run });
  const order = {
    target: target.session.target(),
    fencingToken: state.fencingToken,
    timeoutMilliseconds: startTimeoutMilliseconds,
    task: task.name,
    run: runNumber,
    spec: task.job.record.definition.spec,
    leaseUntilMilliseconds,
    checkpoint: task.checkpoint,
    ticket,
  };
  void state.orders.start(order).then((outcome) => {
    takeStartOutcome(state, target, { task, run }, outcome);
  });
}

function takeStartOutcome(
  state: HomeState,
  target: HomeTarget,
  started: TargetRun,
  outcome: OrderOutcome,
): void {
  const { task, run } = started;
  const reason = outcome.kind === "refused" ? outcome.reason : undefined;
  state.metrics.count("run_starts_total", { pool: state.pool, result: reason ?? outcome.kind });
  state.metrics.observe("run_start_milliseconds", performance.now() - run.startedAt, {
    result: outcome.kind,
  });
  state.log.write("info", "run-start", {
    task: task.name,
    run: run.run,
    target: run.targetId,
    result: reason ?? outcome.kind,
    waited: Math.round(run.startedAt - task.job.acceptedAt),
  });
  if (outcome.kind === "done") confirmStart(target, started, outcome.clockMilliseconds);
  if (outcome.kind === "unknown" && run.status === "starting") {
    run.status = "unresolved";
    target.distrust += distrustPerRefusal;
  }
  if (reason !== undefined) takeRefusal(state, target, started, reason);
}

function confirmStart(target: HomeTarget, { task, run }: TargetRun, clockMilliseconds: number): void {
  const now = performance.now();
  target.session.noteClock(clockMilliseconds, now);
  run.confirmedAt ??= now;
  if (run.status === "starting") run.status = "running";
  task.job.hasStarted = true;
}

function takeRefusal(state: HomeState, target: HomeTarget, started: TargetRun, reason: OrderRefusal): void {
  const { task } = started;
  removeRun(state, target, started);
  const block = blockMilliseconds[reason];
  if (block !== undefined) target.blockedUntil = performance.now() + block;
  if (reason === "unhealthy") target.distrust += distrustPerRefusal;
  if (reason === "old-run") task.lastRun += runSkip;
  if (reason === "malformed") task.notBefore = performance.now() + malformedWaitMilliseconds;
  if (reason === "fenced") state.supersede("a target has seen a higher fencing token");
  state.wake();
}
