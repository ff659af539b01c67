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
import type { AdviceCache } from "./advice-cache.js";
import { rankJob, type RankedJob } from "./job-rank.js";
import { moveLongRunningTasks, reservePlace } from "./long-running-places.js";
import { createOverShareCheck } from "./over-share-check.js";
import { startRun } from "./start-orders.js";
import { isTaskOver, type OwnerState } from "./owner-state.js";
import { describePlace, isUsable, viewTarget } from "./target-views.js";
import { mayRunUnseen } from "./unseen-runs.js";
import { beginQuotaRound, limitStarts, takeQuota } from "./workspace-limits.js";

/** Tickets of the targets that may run a step, by target; `noTicketsNeeded` when every target may run it. */
type Tickets = ReadonlyMap<string, string> | typeof noTicketsNeeded;

const noTicketsNeeded = "none-needed";

/**
 * Runs one placement round: starts every waiting task for which there is room.
 * @param state - the owner
 * @param advice - tickets of the targets that may run a step, for queues that need them
 */
export function dispatch(state: OwnerState, advice: AdviceCache): void {
  if (!state.isActive()) return;
  const now = performance.now();
  beginQuotaRound(state, now);
  const candidates = [...state.openJobs.values()].filter(
    (job) => !job.isEnding && hasTasksToPlace(state, job, now),
  );
  if (candidates.length === 0) {
    state.unplacedLongRunning = [];
    return;
  }
  const views = [...state.targets.values()].filter((target) => isUsable(target, now)).map(viewTarget);
  const isOverShare = createOverShareCheck(state, now);
  const ranked = candidates.map((job) => rankJob(state, job, now, isOverShare));
  ranked.sort((left, right) => compareJobs(left, right, now));
  const placeJob = ({ job }: RankedJob): UnplacedTasks[] =>
    [...job.occurrences.values()].flatMap((occurrence) =>
      placeOccurrence(state, advice, job, occurrence, views, now),
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
  advice: AdviceCache,
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
    const tickets = job.record.terms.needsAdvice ? advice.tickets(place.stepKey, views) : noTicketsNeeded;
    if (tickets === undefined) return;
    const count = placeTasks(state, place, tasks, idle, views, tickets);
    if (count > 0 && place.definition.isLasting) unplaced.push({ ...place, count });
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

/** Starts the waiting tasks of a step that have room; returns how many have none, 0 for a gang. */
function placeTasks(
  state: OwnerState,
  place: StepPlace,
  tasks: readonly Task[],
  idle: readonly Task[],
  views: readonly TargetView[],
  tickets: Tickets,
): number {
  const isAllowed = (view: TargetView): boolean => tickets === noTicketsNeeded || tickets.has(view.targetId);
  const findTicket = (view: TargetView): string | undefined =>
    tickets === noTicketsNeeded ? undefined : tickets.get(view.targetId);
  if (place.definition.isGang) {
    if (idle.length < tasks.length || limitStarts(state, place, idle, views, isAllowed).length === 0)
      return 0;
    const chosen = chooseGangPlaces(place, tasks.length, views, isAllowed);
    const run = tasks.reduce((highest, { lastRun }) => Math.max(highest, lastRun), state.firstRun - 1) + 1;
    const checkpoint = tasks.find((task) => task.checkpoint !== "")?.checkpoint ?? "";
    chosen?.forEach((view, index) => {
      const task = tasks[index];
      if (task === undefined) return;
      task.checkpoint = checkpoint;
      takeQuota(state, task);
      startRun(state, task, run, view.targetId, findTicket(view));
    });
    return 0;
  }
  const allowed = limitStarts(state, place, idle, views, isAllowed);
  for (const [index, task] of allowed.entries()) {
    const view = choosePlace(place, views, isAllowed);
    // All tasks of a step need the same room: if one does not fit, the others do not either.
    if (view === undefined) return reserveRoom(state, place, views, allowed.length - index);
    allocatePlace(view, place);
    const run = Math.max(task.lastRun + 1, state.firstRun);
    takeQuota(state, task);
    startRun(state, task, run, view.targetId, findTicket(view));
  }
  return 0;
}

/** Keeps targets free for long-running tasks until their short tasks have left enough room; returns `count`. */
function reserveRoom(
  state: OwnerState,
  place: StepPlace,
  views: readonly TargetView[],
  count: number,
): number {
  let left = place.definition.isLasting ? count : 0;
  while (left > 0 && reservePlace(state, place, views)) left -= 1;
  return count;
}
