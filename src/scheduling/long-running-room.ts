/**
 * Counts the targets that a pool lacks for its long-running tasks. A job may need a separate target for each of its many
 * tasks while its pool has few machines after an idle time. All missing machines are then requested together, not one
 * after the other.
 * @packageDocumentation
 */
import type { Resources, StepDefinition } from "../jobs/index.js";
import { choosePlace, allocatePlace } from "./placement.js";
import type { TargetView } from "./target-view.js";

/** Long-running tasks of one step for which no target has room. */
export interface UnplacedTasks {
  /** `job.occurrence.step`. */
  readonly stepKey: string;
  readonly definition: StepDefinition;
  readonly count: number;
}

/**
 * Counts the additional targets that long-running tasks need.
 * @param unplaced - the tasks for which no target has room
 * @param targets - the targets that may be used, with the resources that their long-running tasks leave free; placed tasks
 *   are added to them
 * @param capacity - the capacity of an additional target
 * @returns how many empty targets the tasks need that fit on none of `targets`
 */
export function countWantedTargets(
  unplaced: readonly UnplacedTasks[],
  targets: readonly TargetView[],
  capacity: Resources,
): number {
  const additional: TargetView[] = [];
  for (const { stepKey, definition, count } of unplaced) {
    const place = { stepKey, definition, racks: new Map<string, number>() };
    for (let task = 0; task < count; task += 1) {
      const chosen = choosePlace(place, targets) ?? choosePlace(place, additional);
      if (chosen !== undefined) {
        allocatePlace(chosen, place);
        continue;
      }
      const empty = createEmptyTarget(capacity, definition);
      if (choosePlace(place, [empty]) === undefined) break;
      allocatePlace(empty, place);
      additional.push(empty);
    }
  }
  return additional.length;
}

function createEmptyTarget(capacity: Resources, { requiredLabel }: StepDefinition): TargetView {
  return {
    targetId: "",
    startedAtUnix: 0,
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
