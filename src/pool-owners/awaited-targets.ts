/**
 * Targets of earlier owners that have not reported since the takeover, with the jobs that may have runs on them. A target
 * that earlier owners had not used for a while holds back only jobs from before that time.
 * @packageDocumentation
 */

/** Stands for all targets that an incomplete takeover state does not list. */
export const unlistedTargets = "*";

/** Targets that may have runs of which this owner does not know. */
export interface AwaitedTargets {
  /**
   * Adds a target.
   * @param targetId - the target
   * @param unusedSince - highest store revision of a job that may have runs there; infinite when any job may
   */
  add(targetId: string, unusedSince: number): void;
  /** Removes a target that has reported or whose leases have lapsed; returns whether it was awaited. */
  delete(targetId: string): boolean;
  has(targetId: string): boolean;
  /** Number of awaited targets. */
  size(): number;
  /** Notes that the target has no long-running tasks any more; other tasks may still run there. */
  endLongRunning(targetId: string): void;
  /** Whether a job with this store revision may have long-running tasks on the target. */
  mayRunLong(targetId: string, revision: number): boolean;
  /** Whether a job with this store revision may have runs on any awaited target. */
  mayRunAnywhere(revision: number): boolean;
  /** Highest store revision of a job that may have runs on an awaited target, infinite for any job; undefined when none is awaited. */
  highestRevision(): number | undefined;
}

/**
 * Creates an empty set.
 * @returns the set
 */
export function createAwaitedTargets(): AwaitedTargets {
  const targets = new Map<string, number>();
  const withoutLongRunning = new Set<string>();
  let latest = Number.NEGATIVE_INFINITY;
  const mayRunLong = (targetId: string, revision: number): boolean =>
    !withoutLongRunning.has(targetId) && revision <= (targets.get(targetId) ?? Number.NEGATIVE_INFINITY);
  return {
    add: (targetId, unusedSince) => {
      targets.set(targetId, unusedSince);
      withoutLongRunning.delete(targetId);
      latest = Math.max(latest, unusedSince);
    },
    delete: (targetId) => {
      const isDeleted = targets.delete(targetId);
      withoutLongRunning.delete(targetId);
      if (isDeleted) latest = Math.max(Number.NEGATIVE_INFINITY, ...targets.values());
      return isDeleted;
    },
    has: (targetId) => targets.has(targetId),
    size: () => targets.size,
    endLongRunning: (targetId) => {
      withoutLongRunning.add(targetId);
    },
    mayRunLong: (targetId, revision) =>
      mayRunLong(targetId, revision) || mayRunLong(unlistedTargets, revision),
    mayRunAnywhere: (revision) => revision <= latest,
    highestRevision: () => (targets.size === 0 ? undefined : latest),
  };
}
