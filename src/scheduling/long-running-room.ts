/**
 * Counts the targets that a pool lacks for its long-running tasks. Answers a job whose many tasks must all be on targets of
 * their own, in a pool that has rested: the machines are asked for together, not one after the other.
 * @packageDocumentation
 */
import type { Resources, StepDefinition } from "../jobs/index.js";
import { choosePlace, takePlace } from "./placement.js";
import type { TargetView } from "./target-view.js";

/** Long-running tasks of one step that have found no place. */
export interface UnplacedTasks {
  /** `job.occurrence.step`. */
  readonly stepKey: string;
  readonly definition: StepDefinition;
  readonly count: number;
}

/**
 * Counts further targets that long-running tasks need.
 * @param unplaced - the tasks that have found no place
 * @param targets - the targets that may be used, with what their long-running tasks leave free; places are taken from them
 * @param capacity - what a further target would have
 * @returns how many empty targets would take the tasks that fit on none of the others
 */
export function countWantedTargets(
  unplaced: readonly UnplacedTasks[],
  targets: readonly TargetView[],
  capacity: Resources,
): number {
  const further: TargetView[] = [];
  for (const { stepKey, definition, count } of unplaced) {
    const place = { stepKey, definition, racks: new Map<string, number>() };
    for (let task = 0; task < count; task += 1) {
      const chosen = choosePlace(place, targets) ?? choosePlace(place, further);
      if (chosen !== undefined) {
        takePlace(chosen, place);
        continue;
      }
      const empty = createEmptyTarget(capacity, definition);
      if (choosePlace(place, [empty]) === undefined) break;
      takePlace(empty, place);
      further.push(empty);
    }
  }
  return further.length;
}

function createEmptyTarget(capacity: Resources, { requiredLabel }: StepDefinition): TargetView {
  return {
    targetId: "",
    rack: undefined,
    labels: requiredLabel === undefined ? [] : [requiredLabel],
    capacity,
    free: capacity,
    stepCounts: new Map(),
    runCount: 0,
    longRunningCount: 0,
    failureScore: 0,
  };
}
