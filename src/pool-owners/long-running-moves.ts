/**
 * Moves long-running tasks away from targets that leave or are emptied. Answers waves and departures: a task is stopped only
 * while enough others of its step are at work, and once another target has room for it.
 * @packageDocumentation
 */
import { isStepReady, type Occurrence, type Task } from "../jobs/index.js";
import type { OwnerState, PoolTarget } from "./owner-state.js";

const fullPercent = 100;

/**
 * Tells whether a long-running task should leave its target.
 * @param state - the owner
 * @param task - the task
 * @returns the target that it should leave, undefined when it stays
 */
export function findTargetToLeave(state: OwnerState, task: Task): PoolTarget | undefined {
  const [run] = task.runs;
  if (run?.status !== "running") return undefined;
  const target = state.targets.get(run.targetId);
  if (target === undefined) return undefined;
  return target.isVacating || isDraining(target) ? target : undefined;
}

/** Tells whether a target has announced that it leaves. */
export function isDraining({ session }: PoolTarget): boolean {
  return session.isListed() && session.target().state === "draining";
}

/**
 * Tells whether a long-running task may be stopped now.
 * @param state - the owner
 * @param occurrence - the task's occurrence
 * @param task - the task
 * @param from - the target that it runs on
 * @returns true when its step can spare it
 */
export function mayStopForMove(
  state: OwnerState,
  occurrence: Occurrence,
  task: Task,
  from: PoolTarget,
): boolean {
  // What runs on a target that leaves is lost anyway.
  if (isDraining(from)) return true;
  if (!isStepReady(occurrence, task.step)) return true;
  const others = occurrence.steps[task.step]?.filter((other) => other !== task) ?? [];
  const away = others.filter((other) => !isAvailable(state, other)).length;
  return away < (task.definition.maximumUnavailable ?? 1);
}

function isAvailable(state: OwnerState, { runs }: Task): boolean {
  return runs.some(({ status, percent, targetId }) => {
    const isResponsive = state.targets.get(targetId)?.session.isResponsive() === true;
    return status === "running" && percent === fullPercent && isResponsive;
  });
}
