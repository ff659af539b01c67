/**
 * The order in which jobs get room. Answers a pool whose backlog is longer than its jobs' objectives: what can still be
 * in time goes before what cannot, what has begun is finished, urgent queues go first, and workspaces that had their
 * share let others go before them.
 * @packageDocumentation
 */

/** A job that waits for room. */
export interface OrderedJob {
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly isLasting: boolean;
  readonly hasStarted: boolean;
  /** Whether its workspace has lately had its share of the pool; false where nobody tells workspaces apart. */
  readonly isOverShare: boolean;
  /** When the job is due, by the monotonic clock. */
  readonly dueAt: number;
  /** The time that its remaining steps take on idle targets. */
  readonly remainingMilliseconds: number;
  readonly acceptedAt: number;
}

/** Jobs of a workspace that had its share let others go first until they have only so much time to spare. */
const yieldSlackMilliseconds = 500;

/**
 * Compares two jobs.
 * @param left - a job
 * @param right - another
 * @param now - the monotonic clock
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

/** Whether a job can let others go first and still be in time. */
function canYield({ isOverShare, dueAt, remainingMilliseconds }: OrderedJob, now: number): boolean {
  return isOverShare && now + remainingMilliseconds + yieldSlackMilliseconds < dueAt;
}
