/**
 * Finds and reserves places for long-running tasks that should leave their targets, or for which there is no room yet.
 * @packageDocumentation
 */
import type { Occurrence, Resources, Task } from "../jobs/index.js";
import {
  add,
  chargedResources,
  choosePlace,
  countWantedTargets,
  allocatePlace,
  type StepPlace,
  type TargetView,
  type UnplacedTasks,
} from "../scheduling/index.js";
import { findAccess, wantAdvice } from "./advised-steps.js";
import type { OwnerState } from "./owner-state.js";
import type { PoolTarget } from "./pool-target.js";
import type { RankedJob } from "./job-rank.js";
import { findTargetToLeave, mayStopForMove } from "./long-running-moves.js";
import type { StepAccess } from "./step-access.js";
import { describePlace, isUsable, viewTarget } from "./target-views.js";

/**
 * Stops long-running tasks that should leave their targets once there is a place for them, and reserves that place.
 * @param state - the owner
 * @param ranked - the owner's long-running jobs
 * @param views - the targets that may be used; reserved room is deducted from them
 * @returns the tasks without a place
 */
export function moveLongRunningTasks(
  state: OwnerState,
  ranked: readonly RankedJob[],
  views: readonly TargetView[],
): UnplacedTasks[] {
  const unplaced: UnplacedTasks[] = [];
  for (const { job } of ranked) {
    for (const occurrence of job.occurrences.values()) {
      for (const task of occurrence.steps.flat()) {
        const stepPlace = moveLongRunningTask(state, occurrence, task, views);
        if (stepPlace !== undefined) unplaced.push({ ...stepPlace, count: 1 });
      }
    }
  }
  return unplaced;
}

/** Moves a task that should leave its target; returns the task's step when there is no place for it. */
function moveLongRunningTask(
  state: OwnerState,
  occurrence: Occurrence,
  task: Task,
  views: readonly TargetView[],
): StepPlace | undefined {
  const [run] = task.runs;
  if (!task.definition.isLasting || run === undefined) return undefined;
  const from = findTargetToLeave(state, task);
  if (from === undefined && run.status !== "stopping") return undefined;
  const tasks = occurrence.steps[task.step] ?? [];
  const place = describePlace(state, task, tasks);
  const access = findAccess(state, task.job, place.stepKey);
  const elsewhere = views.filter(({ targetId }) => targetId !== run.targetId);
  const view = choosePlace(place, elsewhere, (each) => access.mayStart(each));
  if (view === undefined) {
    wantAdvice(state, task.job, place, elsewhere);
    reservePlaces(state, place, elsewhere, access, 1);
    return place;
  }
  allocatePlace(view, place);
  if (from !== undefined && mayStopForMove(state, occurrence, task, from)) run.status = "stopping";
  return undefined;
}

/**
 * Reserves targets for long-running tasks that have no place: those on which they may run, and which have room for them once
 * their short tasks have ended. No task is placed on a reserved target for the rest of the round.
 * @param state - the owner
 * @param place - the tasks' step
 * @param views - the targets that may be used
 * @param access - on which of them the step may run
 * @param count - the number of tasks
 */
export function reservePlaces(
  state: OwnerState,
  place: StepPlace,
  views: readonly TargetView[],
  access: StepAccess,
  count: number,
): void {
  const allowed = views.filter((view) => access.isAllowed(view));
  let left = count;
  while (left > 0 && reservePlace(state, place, allowed)) left -= 1;
}

/** Reserves a target for one long-running task; returns whether there is one. */
function reservePlace(state: OwnerState, place: StepPlace, views: readonly TargetView[]): boolean {
  const viewsWithoutShortTasks = views.map((view) => ({ ...view, free: readLongRunningRoom(state, view) }));
  const chosen = choosePlace(place, viewsWithoutShortTasks);
  const view = views.find(({ targetId }) => targetId === chosen?.targetId);
  if (view === undefined) return false;
  view.free = noRoom;
  state.reservations.note(place.stepKey, view.targetId);
  return true;
}

/** Assumed for a pool without targets, which therefore requests a single machine for all its long-running tasks. */
const unknownCapacity: Resources = { cpuMillicores: 0, memoryMegabytes: 0, accelerators: 0 };
const noRoom: Resources = { cpuMillicores: -1, memoryMegabytes: -1, accelerators: -1 };

/** Room that a target has for long-running tasks once its short tasks have ended. */
function readLongRunningRoom(state: OwnerState, view: TargetView): Resources {
  if (view.free === noRoom) return noRoom;
  let room = view.free;
  for (const { task } of state.targets.get(view.targetId)?.runs.values() ?? []) {
    if (!task.definition.isLasting) room = add(room, chargedResources(task.definition));
  }
  return room;
}

/**
 * Counts the additional targets that the long-running tasks without a place need.
 * @param state - the owner
 * @returns targets for the tasks that fit on none of the pool's targets, even once the short tasks there have ended
 */
export function countTargetsWanted(state: OwnerState): number {
  const { unplacedLongRunning, targets } = state;
  if (unplacedLongRunning.length === 0) return 0;
  const now = performance.now();
  const usable = [...targets.values()].filter((target) => isUsable(target, now));
  const views = usable.map(viewTarget).map((view) => ({ ...view, free: readLongRunningRoom(state, view) }));
  return countWantedTargets(unplacedLongRunning, views, findLargestCapacity([...targets.values()]));
}

/** Expected capacity of an additional target: the machines of a pool are assumed to be similar. */
function findLargestCapacity(targets: readonly PoolTarget[]): Resources {
  const capacities = targets.map(({ session }) => session.target().capacity);
  return capacities.reduce(
    (largest, each) => (each.cpuMillicores > largest.cpuMillicores ? each : largest),
    unknownCapacity,
  );
}
