/**
 * Chooses targets for tasks. In a pool that is nearly full, a careless choice fragments the free resources into parts too
 * small for large tasks. Targets that fail or stall the tasks that they start are avoided.
 * @packageDocumentation
 */
import type { Resources, StepDefinition } from "../jobs/index.js";
import { chargedResources, fits, subtract, type TargetView } from "./target-view.js";

/** A step of one occurrence of a job whose tasks are placed. */
export interface StepPlace {
  /** `job.occurrence.step`. */
  readonly stepKey: string;
  readonly definition: StepDefinition;
  /** Number of the step's tasks that already run on each rack. */
  readonly racks: ReadonlyMap<string, number>;
}

/**
 * Chooses a target for one task.
 * @param place - the task's step
 * @param targets - the targets of the pool that may be used
 * @param isAllowed - whether the task may run on a target, for example by the advice of an outside service
 * @returns the target with the lowest cost, undefined when none has room
 */
export function choosePlace(
  place: StepPlace,
  targets: readonly TargetView[],
  isAllowed: (target: TargetView) => boolean = () => true,
): TargetView | undefined {
  let best: TargetView | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const target of targets) {
    if (!hasRoomFor(place, target) || !isAllowed(target)) continue;
    const cost = placeCost(place, target);
    if (cost < bestCost) {
      best = target;
      bestCost = cost;
    }
  }
  return best;
}

/**
 * Counts how many tasks of a step fit on the targets.
 * @param place - the tasks' step
 * @param targets - the targets that may be used
 * @param most - the number at which counting stops
 * @param isAllowed - whether the tasks may run on a target
 * @returns how many of the tasks have room, at most `most`
 */
export function countPlaces(
  place: StepPlace,
  targets: readonly TargetView[],
  most: number,
  isAllowed: (target: TargetView) => boolean = () => true,
): number {
  const needed = chargedResources(place.definition);
  const { maximumPerTarget = Number.POSITIVE_INFINITY } = place.definition;
  let count = 0;
  for (const target of targets) {
    if (count >= most) return most;
    if (!hasRoomFor(place, target) || !isAllowed(target)) continue;
    const left = maximumPerTarget - (target.stepCounts.get(place.stepKey) ?? 0);
    count += Math.min(left, countFitting(target.free, needed), most);
  }
  return Math.min(count, most);
}

function countFitting(free: Resources, needed: Resources): number {
  const quotient = (room: number, need: number): number =>
    need > 0 ? Math.floor(room / need) : Number.POSITIVE_INFINITY;
  return Math.min(
    quotient(free.cpuMillicores, needed.cpuMillicores),
    quotient(free.memoryMegabytes, needed.memoryMegabytes),
    quotient(free.accelerators, needed.accelerators),
  );
}

/**
 * Checks whether one more task of a step may be placed on a target by the step's own definition.
 * @param place - the step
 * @param target - the target
 * @returns true when the target has the required label, enough free resources and not too many tasks of the step
 */
export function hasRoomFor(place: StepPlace, target: TargetView): boolean {
  const { maximumPerTarget } = place.definition;
  if (!fits(target.free, chargedResources(place.definition)) || !hasRequiredLabel(place, target))
    return false;
  return maximumPerTarget === undefined || (target.stepCounts.get(place.stepKey) ?? 0) < maximumPerTarget;
}

/**
 * Checks whether a target has the label that a step requires.
 * @param place - the step
 * @param target - the target
 * @returns true also when the step requires none
 */
export function hasRequiredLabel({ definition: { requiredLabel } }: StepPlace, target: TargetView): boolean {
  return requiredLabel === undefined || target.labels.includes(requiredLabel);
}

/** A rack on which the task runs longer outweighs any difference in free resources. */
const otherRackCost = 10;
/** Cost of each point of a target's failure score. */
const failureCost = 5;
/** Long-running tasks of a step are spread over racks: the loss of one rack must not stop most of them. */
const sharedRackCost = 2;
/** The first long-running task on a target costs more, so that they share targets and other machines can change their pool. */
const firstLongRunningCost = 1.5;

function placeCost({ definition, racks, stepKey }: StepPlace, target: TargetView): number {
  const { preferredRack, prefersOneRack, isLasting, isFiller } = definition;
  let cost = target.failureScore * failureCost;
  if (preferredRack !== undefined && target.rack !== preferredRack) cost += otherRackCost;
  const onRack = target.rack === undefined ? 0 : (racks.get(target.rack) ?? 0);
  if (prefersOneRack && racks.size > 0 && onRack === 0) cost += otherRackCost;
  if (isLasting && !prefersOneRack) cost += onRack * sharedRackCost + (target.stepCounts.get(stepKey) ?? 0);
  if (isLasting && target.longRunningCount === 0) cost += firstLongRunningCost;
  // Long-running and best-effort tasks go to the emptiest target, others to the fullest target on which they fit.
  const share = freeShare(target);
  return isLasting || isFiller ? cost + 1 - share : cost + share;
}

function freeShare({ free, capacity }: TargetView): number {
  const cpu = capacity.cpuMillicores > 0 ? free.cpuMillicores / capacity.cpuMillicores : 0;
  const memory = capacity.memoryMegabytes > 0 ? free.memoryMegabytes / capacity.memoryMegabytes : 0;
  return (cpu + memory) / 2;
}

/**
 * Allocates a task's resources on a target.
 * @param target - the chosen target, which is changed
 * @param place - the task's step
 */
export function allocatePlace(target: TargetView, { stepKey, definition }: StepPlace): void {
  target.free = subtract(target.free, chargedResources(definition));
  target.stepCounts.set(stepKey, (target.stepCounts.get(stepKey) ?? 0) + 1);
  target.runCount += 1;
  if (definition.isLasting) target.longRunningCount += 1;
}

/**
 * Chooses targets for all members of a gang at once.
 * @param place - the gang's step
 * @param count - how many members need a place
 * @param targets - the targets that may be used; they are left as they were when not all members fit
 * @param isAllowed - whether the members may run on a target
 * @returns a target for each member, undefined when not all fit
 */
export function chooseGangPlaces(
  place: StepPlace,
  count: number,
  targets: readonly TargetView[],
  isAllowed: (target: TargetView) => boolean = () => true,
): TargetView[] | undefined {
  const before = targets.map(({ free, runCount }) => ({ free, runCount }));
  const counts = targets.map(({ stepCounts }) => stepCounts.get(place.stepKey) ?? 0);
  const racks = new Map(place.racks);
  const chosen: TargetView[] = [];
  while (chosen.length < count) {
    const target = choosePlace({ ...place, racks }, targets, isAllowed);
    if (target === undefined) break;
    allocatePlace(target, place);
    if (target.rack !== undefined) racks.set(target.rack, (racks.get(target.rack) ?? 0) + 1);
    chosen.push(target);
  }
  if (chosen.length === count) return chosen;
  targets.forEach((target, index) => {
    target.free = before[index]?.free ?? target.free;
    target.runCount = before[index]?.runCount ?? target.runCount;
    target.stepCounts.set(place.stepKey, counts[index] ?? 0);
  });
  return undefined;
}
