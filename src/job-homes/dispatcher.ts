/**
 * Rounds of placing: goes through the jobs in their order and starts what has room.
 * @packageDocumentation
 */
import {
  isStepReady,
  type Job,
  type Occurrence,
  type Resources,
  type StepDefinition,
  type Task,
} from "../jobs/index.js";
import {
  add,
  chargedResources,
  chooseGangPlaces,
  choosePlace,
  compareJobs,
  isLastingJob,
  subtract,
  takePlace,
  type StepPlace,
  type TargetView,
} from "../scheduling/index.js";
import type { AdviceBook } from "./advice-book.js";
import { rankJob, type RankedJob } from "./job-rank.js";
import { findDeparture, maySpare } from "./lasting-moves.js";
import { startRun } from "./start-orders.js";
import { isTaskOver, type HomeState, type HomeTarget } from "./home-state.js";

/**
 * Starts all tasks that have room.
 * @param state - the home
 * @param advice - tells which targets may run a step
 */
export function dispatch(state: HomeState, advice: AdviceBook): void {
  if (!state.isActive()) return;
  const now = performance.now();
  const wanting = [...state.openJobs.values()].filter((job) => !job.isEnding && wantsPlace(state, job, now));
  if (wanting.length === 0) {
    state.unplacedLastingTasks = 0;
    return;
  }
  const views = [...state.targets.values()].filter((target) => isUsable(target, now)).map(viewTarget);
  const ranked = wanting.map((job) => rankJob(state, job, now));
  ranked.sort((left, right) => compareJobs(left, right, now));
  state.unplacedLastingTasks = moveLastingTasks(state, ranked, views);
  for (const { job } of ranked) {
    for (const occurrence of job.occurrences.values())
      placeOccurrence(state, advice, job, occurrence, views, now);
  }
}

/** Whether a round has anything to decide for a job: most open ones only wait for the ends of what runs. */
function wantsPlace(state: HomeState, job: Job, now: number): boolean {
  if (isLastingJob(job.record.definition)) return true;
  for (const occurrence of job.occurrences.values()) {
    const isWanting = occurrence.steps.some(
      (tasks, step) => tasks.some((task) => isIdle(state, task, now)) && isStepReady(occurrence, step),
    );
    if (isWanting) return true;
  }
  return false;
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
  const { capacity, labels, rack, targetId } = target.session.target();
  const taken = { cpuMillicores: 0, memoryMegabytes: 0, accelerators: 0 };
  const stepCounts = new Map<string, number>();
  let lastingCount = 0;
  for (const { task } of target.runs.values()) {
    const { definition } = task;
    const { cpuMillicores, memoryMegabytes, accelerators } = definition.resources;
    if (!definition.isFiller) taken.cpuMillicores += cpuMillicores;
    taken.memoryMegabytes += memoryMegabytes;
    taken.accelerators += accelerators;
    if (definition.isLasting) lastingCount += 1;
    if (!countsOnTargets(definition)) continue;
    const key = stepKey(task);
    stepCounts.set(key, (stepCounts.get(key) ?? 0) + 1);
  }
  return {
    targetId,
    rack,
    labels,
    capacity,
    free: subtract(capacity, taken),
    stepCounts,
    runCount: target.runs.size,
    lastingCount,
    distrust: target.distrust,
  };
}

/** Whether it matters how many tasks of the step a target runs. */
function countsOnTargets({ isLasting, maximumPerTarget }: StepDefinition): boolean {
  return isLasting || maximumPerTarget !== undefined;
}

function stepKey({ job, occurrence, step }: Task): string {
  return `${job.id}.${occurrence}.${step}`;
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
    const place = describePlace(state, first, tasks);
    if (!job.record.terms.needsAdvice) {
      placeTasks(state, place, tasks, idle, views);
      return;
    }
    const tickets = advice.tickets(place.stepKey, views);
    if (tickets !== undefined) placeTasks(state, place, tasks, idle, views, tickets);
  });
}

function describePlace(state: HomeState, task: Task, tasks: readonly Task[]): StepPlace {
  return { stepKey: stepKey(task), definition: task.definition, racks: countRacks(state, tasks) };
}

function isIdle(state: HomeState, task: Task, now: number): boolean {
  if (task.runs.length > 0 || task.notBefore > now || isTaskOver(task)) return false;
  return !mayRunUnseen(state, task);
}

/** Whether an earlier home may have started the task on a target that has not answered since. */
function mayRunUnseen({ awaited }: HomeState, task: Task): boolean {
  const { job, definition, recordedPlaces, isAccountedFor } = task;
  if (awaited.size === 0 || !job.isInherited || isAccountedFor) return false;
  return !definition.isLasting || recordedPlaces.some((targetId) => awaited.has(targetId));
}

function countRacks(state: HomeState, tasks: readonly Task[]): Map<string, number> {
  const racks = new Map<string, number>();
  const [first] = tasks;
  // Only these choose their targets by the racks of the others.
  if (first === undefined || !(first.definition.isLasting || first.definition.prefersOneRack)) return racks;
  for (const { targetId } of tasks.flatMap(({ runs }) => runs)) {
    const rack = state.targets.get(targetId)?.session.target().rack;
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
  for (const [index, task] of idle.entries()) {
    const view = choosePlace(place, views, isAllowed);
    if (view === undefined) {
      // The tasks of a step need the same room. Room for a lasting one is kept free until it is enough.
      if (!place.definition.isLasting) return;
      reservePlace(state, place, views);
      state.unplacedLastingTasks += idle.length - index;
      return;
    }
    takePlace(view, place);
    const run = Math.max(task.lastRun + 1, state.firstRun);
    startRun(state, task, run, view.targetId, tickets?.get(view.targetId));
  }
}

/**
 * Stops lasting tasks that should leave their targets once there is a place for them, and keeps that place.
 * @returns how many have no place
 */
function moveLastingTasks(
  state: HomeState,
  ranked: readonly RankedJob[],
  views: readonly TargetView[],
): number {
  let stuck = 0;
  for (const { job, isLasting } of ranked) {
    if (!isLasting) continue;
    for (const occurrence of job.occurrences.values()) {
      for (const task of occurrence.steps.flat()) {
        if (moveLastingTask(state, occurrence, task, views) === "no-place") stuck += 1;
      }
    }
  }
  return stuck;
}

function moveLastingTask(
  state: HomeState,
  occurrence: Occurrence,
  task: Task,
  views: readonly TargetView[],
): "stays" | "no-place" | "has-place" {
  const [run] = task.runs;
  if (!task.definition.isLasting || run === undefined) return "stays";
  const from = findDeparture(state, task);
  if (from === undefined && run.status !== "stopping") return "stays";
  const tasks = occurrence.steps[task.step] ?? [];
  const place = describePlace(state, task, tasks);
  const elsewhere = views.filter(({ targetId }) => targetId !== run.targetId);
  const view = choosePlace(place, elsewhere);
  if (view === undefined) {
    reservePlace(state, place, elsewhere);
    return "no-place";
  }
  takePlace(view, place);
  if (from !== undefined && maySpare(state, occurrence, task, from)) run.status = "stopping";
  return "has-place";
}

/** Keeps the target free whose short tasks leave room for a lasting one soonest. */
function reservePlace(state: HomeState, place: StepPlace, views: readonly TargetView[]): void {
  const withoutShort = views.map((view) => ({ ...view, free: readLastingRoom(state, view) }));
  const chosen = choosePlace(place, withoutShort);
  const view = views.find(({ targetId }) => targetId === chosen?.targetId);
  if (view !== undefined) view.free = noRoom;
}

const noRoom: Resources = { cpuMillicores: -1, memoryMegabytes: -1, accelerators: -1 };

/** What a target has for lasting tasks once its short ones have ended. */
function readLastingRoom(state: HomeState, view: TargetView): Resources {
  if (view.free === noRoom) return noRoom;
  let room = view.free;
  for (const { task } of state.targets.get(view.targetId)?.runs.values() ?? []) {
    if (!task.definition.isLasting) room = add(room, chargedResources(task.definition));
  }
  return room;
}
