/**
 * The order in which jobs get room. Answers a pool whose backlog is longer than its jobs' objectives: what can still be
 * in time goes before what cannot, what has begun is finished, and urgent queues go first.
 * @packageDocumentation
 */

/** A job that waits for room. */
export interface OrderedJob {
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly isLasting: boolean;
  readonly hasStarted: boolean;
  /** When the job is due, by the monotonic clock. */
  readonly dueAt: number;
  /** The time that its remaining steps take on idle targets. */
  readonly remainingMilliseconds: number;
  readonly acceptedAt: number;
}

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
  return left.acceptedAt - right.acceptedAt;
}

function isLate({ dueAt, remainingMilliseconds, isLasting }: OrderedJob, now: number): boolean {
  return !isLasting && now + remainingMilliseconds > dueAt;
}
