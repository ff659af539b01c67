/**
 * Converts targets and steps to the input of the placement functions.
 * @packageDocumentation
 */
import type { StepDefinition, Task } from "../jobs/index.js";
import { subtract, type StepPlace, type TargetView } from "../scheduling/index.js";
import type { OwnerState } from "./owner-state.js";
import { isRecordedInUse, type PoolTarget } from "./pool-target.js";

/**
 * Checks whether a scheduling round may start runs on a target.
 * @param target - the target
 * @param now - the current time by the monotonic clock, in milliseconds
 * @returns false for a target that is being emptied, is leaving, has refused a start recently or has not answered its last
 * renewal
 */
export function isUsable(target: PoolTarget, now: number): boolean {
  const { session } = target;
  return (
    isRecordedInUse(target) &&
    !target.isVacating &&
    target.blockedUntil <= now &&
    session.isFenced() &&
    session.isListed() &&
    session.failuresInARow() === 0 &&
    session.target().state === "ready"
  );
}

/**
 * Describes a target for placement. Best-effort tasks take no CPU share from its free resources.
 * @param target - the target
 * @returns its free resources and the number of its runs
 */
export function viewTarget(target: PoolTarget): TargetView {
  const { capacity, labels, rack, targetId, startedAtUnix } = target.session.target();
  const taken = { cpuMillicores: 0, memoryMegabytes: 0, accelerators: 0 };
  const stepCounts = new Map<string, number>();
  let longRunningCount = 0;
  for (const { task } of target.runs.values()) {
    const { definition } = task;
    const { cpuMillicores, memoryMegabytes, accelerators } = definition.resources;
    if (!definition.isFiller) taken.cpuMillicores += cpuMillicores;
    taken.memoryMegabytes += memoryMegabytes;
    taken.accelerators += accelerators;
    if (definition.isLasting) longRunningCount += 1;
    if (!countsOnTargets(definition)) continue;
    const key = stepKey(task);
    stepCounts.set(key, (stepCounts.get(key) ?? 0) + 1);
  }
  return {
    targetId,
    startedAtUnix,
    rack,
    labels,
    capacity,
    free: subtract(capacity, taken),
    stepCounts,
    runCount: target.runs.size,
    longRunningCount: longRunningCount,
    failureScore: target.failureScore,
  };
}

/** Whether placement depends on the number of the step's tasks on a target. */
function countsOnTargets({ isLasting, maximumPerTarget }: StepDefinition): boolean {
  return isLasting || maximumPerTarget !== undefined;
}

/**
 * Builds the key of a step in one occurrence of its job.
 * @param task - a task of the step
 * @returns `job.occurrence.step`
 */
export function stepKey({ job, occurrence, step }: Task): string {
  return `${job.id}.${occurrence}.${step}`;
}

/**
 * Describes a step whose tasks are to be placed.
 * @param state - the owner's state
 * @param task - a task of the step
 * @param tasks - all tasks of the step
 * @returns the step, with the number of its runs in each rack
 */
export function describePlace(state: OwnerState, task: Task, tasks: readonly Task[]): StepPlace {
  return { stepKey: stepKey(task), definition: task.definition, racks: countRacks(state, tasks) };
}

function countRacks(state: OwnerState, tasks: readonly Task[]): Map<string, number> {
  const racks = new Map<string, number>();
  const [first] = tasks;
  // The placement of all other steps does not depend on racks.
  if (first === undefined || !(first.definition.isLasting || first.definition.prefersOneRack)) return racks;
  for (const { targetId } of tasks.flatMap(({ runs }) => runs)) {
    const rack = state.targets.get(targetId)?.session.target().rack;
    if (rack !== undefined) racks.set(rack, (racks.get(rack) ?? 0) + 1);
  }
  return racks;
}
