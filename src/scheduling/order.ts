/**
 * The order in which jobs get room in a pool whose backlog is longer than its jobs' objectives. Jobs that can still end in
 * time go before jobs that cannot, then urgent queues go first, started jobs are finished first, and jobs of workspaces
 * that have used their share yield to others.
 * @packageDocumentation
 */

/** A job that waits for room. */
export interface OrderedJob {
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly isLasting: boolean;
  readonly hasStarted: boolean;
  /** Whether its workspace has recently used its share of the pool; false where workspaces are not distinguished. */
  readonly isOverShare: boolean;
  /** When the job should end, by the monotonic clock. */
  readonly dueAt: number;
  /** Run time of its remaining steps on idle targets. */
  readonly remainingMilliseconds: number;
  readonly acceptedAt: number;
}

/** A job of a workspace over its share yields until only this much time remains before it would be late. */
const yieldSlackMilliseconds = 500;

/**
 * Compares two jobs by the order in which they get room.
 * @param left - the one job
 * @param right - the other job
 * @param now - the time of the monotonic clock
 * @returns negative when the left one goes first
 */
export function compareJobs(left: OrderedJob, right: OrderedJob, now: number): number {
  if (left.isLasting !== right.isLasting) return left.isLasting ? -1 : 1;
  const leftLate = isLate(left, now);
  if (leftLate !== isLate(right, now)) return leftLate ? 1 : -1;
  if (left.priority !== right.priority) return left.priority - right.priority;
  if (left.hasStarted !== right.hasStarted) return left.hasStarted ? -1 : 1;
  const leftYields = canYield(left, now);
  if (leftYields !== canYield(right, now)) return leftYields ? 1 : -1;
  return left.acceptedAt - right.acceptedAt;
}

function isLate({ dueAt, remainingMilliseconds, isLasting }: OrderedJob, now: number): boolean {
  return !isLasting && now + remainingMilliseconds > dueAt;
}

/** Whether a job of a workspace over its share can let others go first and still end in time. */
function canYield({ isOverShare, dueAt, remainingMilliseconds }: OrderedJob, now: number): boolean {
  return isOverShare && now + remainingMilliseconds + yieldSlackMilliseconds < dueAt;
}
