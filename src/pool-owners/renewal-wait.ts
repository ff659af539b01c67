/**
 * Chooses how long a target waits for the end of a run before it answers a renewal.
 * @packageDocumentation
 */
import { fullPercent, hasBestEffortTasks } from "./best-effort-pace.js";
import type { PoolTarget } from "./pool-target.js";

/** Targets without runs need fewer renewals. */
const idleWaitMilliseconds = 2_000;
const busyWaitMilliseconds = 1_000;
/** Shorter while a long-running task is starting: further tasks of its step may move only once it is ready. */
const startingWaitMilliseconds = 200;
/** Shorter while best-effort tasks run, so that their throttling follows the load of the long-running tasks beside them. */
const throttledWaitMilliseconds = 400;

/**
 * Chooses the wait of the next renewal.
 * @param target - the target; undefined when it has no session any more
 * @returns milliseconds
 */
export function chooseRenewalWait(target: PoolTarget | undefined): number {
  if (target === undefined || target.runs.size === 0) return idleWaitMilliseconds;
  if (hasStartingLongRunningTasks(target)) return startingWaitMilliseconds;
  return hasBestEffortTasks(target) ? throttledWaitMilliseconds : busyWaitMilliseconds;
}

function hasStartingLongRunningTasks({ runs }: PoolTarget): boolean {
  for (const { task, run } of runs.values()) {
    if (task.definition.isLasting && run.status === "running" && run.percent < fullPercent) return true;
  }
  return false;
}
