/**
 * Placement rounds: goes through the open jobs in their order and starts the tasks for which there is room.
 * @packageDocumentation
 */
import { isStepReady, type Job, type Occurrence, type Task } from "../jobs/index.js";
import {
  chooseGangPlaces,
  choosePlace,
  compareJobs,
  isLongRunningJob,
  allocatePlace,
  type StepPlace,
  type TargetView,
  type UnplacedTasks,
} from "../scheduling/index.js";
import { findAccess, wantAdvice } from "./advised-steps.js";
import { rankJob, type RankedJob } from "./job-rank.js";
import { moveLongRunningTasks, reservePlaces } from "./long-running-places.js";
import { createOverShareCheck } from "./over-share-check.js";
import { startRun } from "./start-orders.js";
import { isTaskOver, type OwnerState } from "./owner-state.js";
import type { StepAccess } from "./step-access.js";
import { describePlace, isUsable, viewTarget } from "./target-views.js";
import { mayRunUnseen } from "./unseen-runs.js";
import { beginQuotaRound, limitStarts, takeQuota } from "./workspace-limits.js";

/**
 * Runs one placement round: starts every waiting task for which there is room.
 * @param state - the owner
 */
export function dispatch(state: OwnerState): void {
  if (!state.isActive()) return;
  const now = performance.now();
  beginQuotaRound(state, now);
  const candidates = [...state.openJobs.values()].filter(
    (job) => !job.isEnding && hasTasksToPlace(state, job, now),
  );
  if (candidates.length > 0) placeJobs(state, candidates, now);
  else state.unplacedLongRunning = [];
  state.reservations.endRound();
  state.advice.sendRequests();
}

/** Starts the waiting tasks of jobs in their order, long-running ones first. */
function placeJobs(state: OwnerState, candidates: readonly Job[], now: number): void {
  const views = [...state.targets.values()].filter((target) => isUsable(target, now)).map(viewTarget);
  const isOverShare = createOverShareCheck(state, now);
  const ranked = candidates.map((job) => rankJob(state, job, now, isOverShare));
  ranked.sort((left, right) => compareJobs(left, right, now));
  const placeJob = ({ job }: RankedJob): UnplacedTasks[] =>
    [...job.occurrences.values()].flatMap((occurrence) =>
      placeOccurrence(state, job, occurrence, views, now),
    );
  const longRunning = ranked.filter(({ isLasting }) => isLasting);
  // A long-running task that does not run gets room before one that only has to leave its target.
  const unplaced = longRunning.flatMap(placeJob);
  unplaced.push(...moveLongRunningTasks(state, longRunning, views));
  for (const job of ranked.slice(longRunning.length)) placeJob(job);
  state.unplacedLongRunning = unplaced;
}

/** Whether a round has to consider a job: most open jobs only wait for their runs to end. */
function hasTasksToPlace(state: OwnerState, job: Job, now: number): boolean {
  if (isLongRunningJob(job.record.definition)) return true;
  for (const occurrence of job.occurrences.values()) {
    const hasReadyTask = occurrence.steps.some(
      (tasks, step) => tasks.some((task) => isIdle(state, task, now)) && isStepReady(occurrence, step),
    );
    if (hasReadyTask) return true;
  }
  return false;
}

/** Starts the waiting tasks of an occurrence that have room; returns its long-running tasks that have none. */
function placeOccurrence(
  state: OwnerState,
  job: Job,
  occurrence: Occurrence,
  views: readonly TargetView[],
  now: number,
): UnplacedTasks[] {
  const unplaced: UnplacedTasks[] = [];
  occurrence.steps.forEach((tasks, step) => {
    const first = tasks[0];
    if (first === undefined || !isStepReady(occurrence, step)) return;
    const idle = tasks.filter((task) => isIdle(state, task, now));
    if (idle.length === 0) return;
    const place = describePlace(state, first, tasks);
    const access = findAccess(state, job, place.stepKey);
    const count = placeTasks(state, place, tasks, idle, views, access);
    if (count === 0) return;
    wantAdvice(state, job, place, views);
    const { isLasting, isGang } = place.definition;
    if (!isLasting || isGang) return;
    reservePlaces(state, place, views, access, count);
    unplaced.push({ ...place, count });
  });
  return unplaced;
}

/**
 * Whether a task has to be started: it has no run, is past its retry delay, is not over, and cannot be running on a target
 * that has not reported yet.
 */
function isIdle(state: OwnerState, task: Task, now: number): boolean {
  if (task.runs.length > 0 || task.notBefore > now || isTaskOver(task)) return false;
  return !mayRunUnseen(state, task);
}

/** Starts the waiting tasks of a step that have room; returns how many have none. */
function placeTasks(
  state: OwnerState,
  place: StepPlace,
  tasks: readonly Task[],
  idle: readonly Task[],
  views: readonly TargetView[],
  access: StepAccess,
): number {
  const possible = views.filter((view) => !access.isRefused(view));
  if (place.definition.isGang) {
    if (idle.length < tasks.length || limitStarts(state, place, idle, possible).length === 0) return 0;
    return startGang(state, place, tasks, views, access) ? 0 : tasks.length;
  }
  const permitted = limitStarts(state, place, idle, possible);
  for (const [index, task] of permitted.entries()) {
    const view = choosePlace(place, views, (each) => access.mayStart(each));
    // All tasks of a step need the same room: if one does not fit, the others do not either.
    if (view === undefined) return permitted.length - index;
    allocatePlace(view, place);
    const run = Math.max(task.lastRun + 1, state.firstRun);
    takeQuota(state, task);
    startRun(state, task, run, view.targetId, access.ticket(view));
  }
  return 0;
}

/** Starts all members of a gang with one run number and one checkpoint; returns whether there is room for all of them. */
function startGang(
  state: OwnerState,
  place: StepPlace,
  tasks: readonly Task[],
  views: readonly TargetView[],
  access: StepAccess,
): boolean {
  const chosen = chooseGangPlaces(place, tasks.length, views, (view) => access.mayStart(view));
  if (chosen === undefined) return false;
  const run = tasks.reduce((highest, { lastRun }) => Math.max(highest, lastRun), state.firstRun - 1) + 1;
  const checkpoint = tasks.find((task) => task.checkpoint !== "")?.checkpoint ?? "";
  chosen.forEach((view, index) => {
    const task = tasks[index];
    if (task === undefined) return;
    task.checkpoint = checkpoint;
    takeQuota(state, task);
    startRun(state, task, run, view.targetId, access.ticket(view));
  });
  return true;
}
