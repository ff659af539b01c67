/**
 * A pool's load as its owner measures it.
 * @packageDocumentation
 */

/** How much a pool has to do, and what it has for it. */
export interface PoolLoad {
  /** Accepted work that has not ended, in core-seconds. */
  readonly backlogCoreSeconds: number;
  /** Cores that would soon end what waits for room. */
  readonly waitingCores: number;
  /** Cores that serve such work, those of long-running tasks not counted. */
  readonly cores: number;
  /** Those of them that are in use. */
  readonly busyCores: number;
}
