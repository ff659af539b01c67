/**
 * A pool's queue as a fluid, second by second. What cannot start in time is refused and counts against the budget.
 * @packageDocumentation
 */
import { slotsPerInstance, type PoolProfile } from "./deployments.js";

/** Answers of a pool so far. */
export interface QueueCounts {
  readonly requests: number;
  readonly late: number;
  /** Windows of an hour in which the objective was missed. */
  readonly missedWindows: number;
}

/** A pool's queue. */
export interface PoolQueue {
  /**
   * Passes one second.
   * @param arrivals - requests that arrive
   * @param instances - instances that serve
   * @returns slots that were busy on average
   */
  step(arrivals: number, instances: number): number;
  /** Requests that wait. */
  waiting(): number;
  /** Counts so far. */
  counts(): QueueCounts;
}

const windowSeconds = 3_600;
const runTail = 3;

/**
 * Creates an empty queue.
 * @param pool - run time, deadline and objective
 * @returns the queue
 */
export function createPoolQueue(pool: PoolProfile): PoolQueue {
  const allowedWaitSeconds = pool.deadlineSeconds - runTail * pool.runSeconds;
  let backlog = 0;
  let seconds = 0;
  let requests = 0;
  let late = 0;
  let missedWindows = 0;
  let window = { requests: 0, late: 0 };

  const closeWindow = (): void => {
    if (window.late > window.requests * (1 - pool.objective)) missedWindows += 1;
    window = { requests: 0, late: 0 };
  };

  return {
    step: (arrivals, instances) => {
      const rate = (instances * slotsPerInstance) / pool.runSeconds;
      // Within the second, the queue may hold what it serves until the last allowed start.
      const accepted = Math.min(arrivals, Math.max(0, rate * (1 + allowedWaitSeconds) - backlog));
      const served = Math.min(rate, backlog + accepted);
      backlog += accepted - served;
      requests += arrivals;
      late += arrivals - accepted;
      window = { requests: window.requests + arrivals, late: window.late + arrivals - accepted };
      seconds += 1;
      if (seconds % windowSeconds === 0) closeWindow();
      return served * pool.runSeconds;
    },
    waiting: () => backlog,
    counts: () => ({ requests, late, missedWindows }),
  };
}
