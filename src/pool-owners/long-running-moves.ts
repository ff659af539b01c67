/**
 * Decides when long-running tasks move away from targets that are draining or being vacated, as in maintenance waves: a
 * task is stopped only while enough other tasks of its step are available, and once another target has room for it.
 * @packageDocumentation
 */
import { isStepReady, type Occurrence, type Task } from "../jobs/index.js";
import type { OwnerState } from "./owner-state.js";
import type { PoolTarget } from "./pool-target.js";

const fullPercent = 100;

/**
 * Finds the target that a long-running task should leave.
 * @param state - the owner
 * @param task - the task
 * @returns the task's target if it is draining or being vacated; undefined when the task stays or is not running
 */
export function findTargetToLeave(state: OwnerState, task: Task): PoolTarget | undefined {
  const [run] = task.runs;
  if (run?.status !== "running") return undefined;
  const target = state.targets.get(run.targetId);
  if (target === undefined) return undefined;
  return target.isVacating || isDraining(target) ? target : undefined;
}

/** Whether a target has announced that it is draining. */
export function isDraining({ session }: PoolTarget): boolean {
  return session.isListed() && session.target().state === "draining";
}

/**
 * Whether a long-running task may be stopped now to move it.
 * @param state - the owner
 * @param occurrence - the task's occurrence
 * @param task - the task
 * @param from - the target that the task runs on
 * @returns true when fewer than `maximumUnavailable` other tasks of the step are unavailable, when the step is not ready,
 * or when the target is draining
 */
export function mayStopForMove(
  state: OwnerState,
  occurrence: Occurrence,
  task: Task,
  from: PoolTarget,
): boolean {
  // Runs on a draining target end anyway.
  if (isDraining(from)) return true;
  if (!isStepReady(occurrence, task.step)) return true;
  const others = occurrence.steps[task.step]?.filter((other) => other !== task) ?? [];
  const unavailable = others.filter((other) => !isAvailable(state, other)).length;
  return unavailable < (task.definition.maximumUnavailable ?? 1);
}

/** Whether a long-running task has fully started, on a target that responds. */
function isAvailable(state: OwnerState, { runs }: Task): boolean {
  return runs.some(({ status, percent, targetId }) => {
    const isResponsive = state.targets.get(targetId)?.session.isResponsive() === true;
    return status === "running" && percent === fullPercent && isResponsive;
  });
}
