/**
 * Decides whether a job is accepted. Answers a turn of demand in which a pool is asked for several times what it can do:
 * a job that cannot be in time any more is refused at once, so that those that were accepted are.
 * @packageDocumentation
 */

/** The load of a pool when a job comes. */
export interface PoolLoad {
  /** Accepted work that has not ended, in core-seconds. */
  readonly backlogCoreSeconds: number;
  /** Cores that serve such work, those of lasting tasks not counted. */
  readonly cores: number;
}

/** A job that asks to be accepted. */
export interface JobDemand {
  readonly coreSeconds: number;
  readonly chainMilliseconds: number;
  /** The time in which the job is worth most, from now. */
  readonly objectiveMilliseconds: number;
}

/** What is answered. */
export type JobAdmission =
  { readonly kind: "accept" } | { readonly kind: "refuse"; readonly retryAfterMilliseconds: number };

const millisecondsPerSecond = 1_000;
const shortestRetryMilliseconds = 1_000;
const longestRetryMilliseconds = 15_000;
/** Work that runs is half done on average, and steps that wait for others leave room. */
const usableShare = 1.7;

/**
 * Decides on a job.
 * @param load - the pool's load
 * @param demand - the job
 * @returns acceptance, or when room is expected
 */
export function admitJob(load: PoolLoad, demand: JobDemand): JobAdmission {
  const cores = load.cores * usableShare;
  if (cores <= 0) return { kind: "refuse", retryAfterMilliseconds: shortestRetryMilliseconds };
  const queueMilliseconds = (load.backlogCoreSeconds / cores) * millisecondsPerSecond;
  const slackMilliseconds = Math.max(0, demand.objectiveMilliseconds - demand.chainMilliseconds);
  if (queueMilliseconds <= slackMilliseconds) return { kind: "accept" };
  const wait = queueMilliseconds - slackMilliseconds;
  const retryAfterMilliseconds = Math.min(
    longestRetryMilliseconds,
    Math.max(shortestRetryMilliseconds, wait),
  );
  return { kind: "refuse", retryAfterMilliseconds };
}
