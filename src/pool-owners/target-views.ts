/**
 * Targets and steps as placing sees them.
 * @packageDocumentation
 */
import type { StepDefinition, Task } from "../jobs/index.js";
import { subtract, type StepPlace, type TargetView } from "../scheduling/index.js";
import type { OwnerState, PoolTarget } from "./owner-state.js";

/**
 * Tells whether a round may start something on a target.
 * @param target - the target
 * @param now - the monotonic clock
 * @returns false for one that is being emptied, that leaves, or whose news are old
 */
export function isUsable(target: PoolTarget, now: number): boolean {
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

/**
 * Describes a target.
 * @param target - the target
 * @returns its room and what it runs
 */
export function viewTarget(target: PoolTarget): TargetView {
  const { capacity, labels, rack, targetId } = target.session.target();
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
    rack,
    labels,
    capacity,
    free: subtract(capacity, taken),
    stepCounts,
    runCount: target.runs.size,
    longRunningCount: longRunningCount,
    distrust: target.failureScore,
  };
}

/** Whether it matters how many tasks of the step a target runs. */
function countsOnTargets({ isLasting, maximumPerTarget }: StepDefinition): boolean {
  return isLasting || maximumPerTarget !== undefined;
}

/**
 * Names the step of one occurrence.
 * @param task - one of its tasks
 * @returns `job.occurrence.step`
 */
export function stepKey({ job, occurrence, step }: Task): string {
  return `${job.id}.${occurrence}.${step}`;
}

/**
 * Describes a step that needs places.
 * @param state - the owner
 * @param task - one of its tasks
 * @param tasks - all of them
 * @returns the step, with where its tasks run already
 */
export function describePlace(state: OwnerState, task: Task, tasks: readonly Task[]): StepPlace {
  return { stepKey: stepKey(task), definition: task.definition, racks: countRacks(state, tasks) };
}

function countRacks(state: OwnerState, tasks: readonly Task[]): Map<string, number> {
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
