/**
 * The load of a pool, as measured by its owner.
 * @packageDocumentation
 */

/** A pool's open work and the cores that are available for it. */
export interface PoolLoad {
  /** Accepted work that has not ended, in core-seconds. */
  readonly backlogCoreSeconds: number;
  /** Cores that would finish the waiting tasks within the catch-up time of the pool report. */
  readonly waitingCores: number;
  /** Cores available for short tasks: those of long-running tasks are not counted. */
  readonly cores: number;
  /** Cores that short tasks use now; best-effort tasks are not counted. */
  readonly busyCores: number;
}
