/**
 * Throttles the best-effort tasks on a target for the sake of the long-running tasks beside them.
 * @packageDocumentation
 */
import { choosePace } from "../scheduling/index.js";
import type { OwnerState } from "./owner-state.js";
import type { PoolTarget } from "./pool-target.js";

/** The pace of a target whose best-effort tasks are not throttled, in percent. */
export const fullPercent = 100;
const paceTimeoutMilliseconds = 500;

/**
 * Whether a target runs best-effort tasks.
 * @param target - the target
 * @returns true when one of its runs is best-effort
 */
export function hasBestEffortTasks({ runs }: PoolTarget): boolean {
  for (const { task } of runs.values()) if (task.definition.isFiller) return true;
  return false;
}

/**
 * Sets the pace of a target's best-effort tasks according to the tail latencies of the long-running tasks beside them.
 * @param state - the owner
 * @param target - the target, whose report has just been handled
 */
export function paceBestEffortTasks(state: OwnerState, target: PoolTarget): void {
  if (!hasBestEffortTasks(target)) return;
  const runs = [...target.runs.values()];
  const bestEffortTasks = runs.filter(
    ({ task, run }) => task.definition.isFiller && run.status === "running",
  );
  if (bestEffortTasks.length === 0) return;
  const tails = runs.flatMap(({ task, run }) => {
    const { goalMilliseconds } = task.definition;
    return goalMilliseconds === undefined ? [] : [{ tailMilliseconds: run.usage, goalMilliseconds }];
  });
  const next = choosePace(target.pacePercent, tails);
  target.pacePercent = next;
  for (const { task, run } of bestEffortTasks) {
    if (run.pacePercent === next) continue;
    const before = run.pacePercent;
    run.pacePercent = next;
    const order = {
      target: target.session.target(),
      timeoutMilliseconds: paceTimeoutMilliseconds,
      task: task.name,
      run: run.run,
      percent: next,
    };
    void state.orders.pace(order).then((outcome) => {
      if (outcome.kind !== "done" && run.pacePercent === next) run.pacePercent = before;
    });
    state.log.write("info", "run-paced", { task: task.name, target: run.targetId, percent: next });
  }
}
