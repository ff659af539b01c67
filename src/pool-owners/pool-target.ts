/**
 * The targets of a pool and the runs on them, as the pool's owner tracks them.
 * @packageDocumentation
 */
import type { Task, TaskRun } from "../jobs/index.js";
import type { TargetSession } from "../task-runs/index.js";

/** A run together with its task. */
export interface TargetRun {
  readonly task: Task;
  readonly run: TaskRun;
}

/** A target of the pool, as its owner tracks it. */
export interface PoolTarget {
  readonly session: TargetSession;
  /** Runs that may be present on the target, by task name. */
  readonly runs: Map<string, TargetRun>;
  /** Whether this owner may have started tasks on an earlier process of the target, which the present one may run. */
  readonly wasUsed: boolean;
  /** Whether the takeover state in the store lists this target; the next owner checks the listed targets for runs. */
  isRecorded: boolean;
  /** The first record of the pool's targets that lists this target as it is; undefined before it is written. */
  recordedBy?: number | undefined;
  /**
   * Set while no task may be started on the target: the highest store revision of a job that may have runs on it, as the
   * takeover state says.
   */
  unusedSince?: number | undefined;
  /** Whether the target is being vacated: no task is started on it. */
  isVacating: boolean;
  /** No task is started on the target before this time, by the monotonic clock. */
  blockedUntil: number;
  /** Rises with failed runs and refused or unanswered starts, falls with successful runs. */
  failureScore: number;
  /** Speed of the target's best-effort tasks, 0 to 100 percent of full speed. */
  pacePercent: number;
  /** When the target's last report arrived, by the monotonic clock; undefined before the first one. */
  reportedAt?: number | undefined;
  /** Highest sequence number among the target's run ends that have been handled. */
  handledSequence: number;
  /** Resolves once all run ends received so far are stored and acknowledged. */
  acknowledging: Promise<void>;
}

/** A start order that received no answer. */
export interface UnansweredStart {
  readonly task: string;
  readonly run: number;
  /** When the start was requested, by the monotonic clock. */
  readonly startedAt: number;
}

/**
 * Whether the takeover state in the store says that any job may have runs on a target.
 * @param target - the target
 * @returns false before this is stored; no start is sent to the target until then
 */
export function isRecordedInUse({ isRecorded, unusedSince }: PoolTarget): boolean {
  return isRecorded && unusedSince === undefined;
}

/**
 * Whether all run ends that a target has listed are stored; a next owner has to collect the others from it.
 * @param target - the target
 * @returns true also for a target that has listed none
 */
export function areEndsStored({ session, handledSequence }: PoolTarget): boolean {
  return session.acknowledgedSequence() >= handledSequence;
}

/**
 * Whether a target's room counts as part of the pool's capacity.
 * @param target - the target
 * @returns false for a target that is being vacated, is draining, has left, or does not respond
 */
export function isInService({ session, isVacating }: PoolTarget): boolean {
  const isReady = session.isListed() && session.target().state === "ready";
  return isReady && !isVacating && session.failuresInARow() === 0;
}
