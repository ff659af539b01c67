/**
 * Distinguishes jobs that fail on every target from targets that fail every job.
 * @packageDocumentation
 */

/** Recent job failures and the success rate of each target. */
export interface FailedJobs {
  /** Whether no job is recorded, so that callers can skip computing a job's digest. */
  isEmpty(): boolean;
  /**
   * Records a run that failed.
   * @param job - digest of the job
   * @param instanceId - the target that ran the job
   * @returns whether the failure counts as a fault of the target; false when the target is healthy and the job has
   * also failed on another one
   */
  recordFailure(job: string, instanceId: string): boolean;
  /** Records a run that succeeded on a target. */
  recordSuccess(instanceId: string): void;
  /**
   * Computes how long a job is refused because it failed on several healthy targets.
   * @param job - digest of the job
   * @returns remaining milliseconds; 0 when the job may run
   */
  millisecondsUntilRetry(job: string): number;
}

interface FailingJob {
  readonly instances: Set<string>;
  readonly expiresAt: number;
}

/** Number of healthy targets on which a job must fail before it is refused. */
const minimumFailedTargets = 2;
const retentionMilliseconds = 30_000;
const maximumJobs = 10_000;
/** Weight of the latest run in a target's moving share of successful runs. */
const successSmoothing = 0.2;
/** Share of successful runs from which a target counts as healthy. */
const minimumHealthyShare = 0.5;

/**
 * Creates an empty record of failures.
 * @param now - clock, in milliseconds
 * @returns the record
 */
export function createFailedJobs(now: () => number = Date.now): FailedJobs {
  const jobs = new Map<string, FailingJob>();
  const successShares = new Map<string, number>();

  const find = (job: string): FailingJob | undefined => {
    const found = jobs.get(job);
    if (found === undefined || found.expiresAt > now()) return found;
    jobs.delete(job);
    return undefined;
  };

  const addFailedInstance = (job: string, instanceId: string): void => {
    const found = find(job);
    if (found !== undefined) {
      found.instances.add(instanceId);
      return;
    }
    jobs.set(job, { instances: new Set([instanceId]), expiresAt: now() + retentionMilliseconds });
    const oldest = jobs.keys().next();
    if (jobs.size > maximumJobs && oldest.done !== true) jobs.delete(oldest.value);
  };

  const updateSuccessShare = (instanceId: string, success: number): void => {
    const share = successShares.get(instanceId) ?? 1;
    successShares.set(instanceId, share + successSmoothing * (success - share));
  };

  return {
    isEmpty: () => jobs.size === 0,
    recordFailure: (job, instanceId) => {
      const others = [...(find(job)?.instances ?? [])].filter((other) => other !== instanceId);
      const isHealthy = (successShares.get(instanceId) ?? 1) >= minimumHealthyShare;
      // A failure on a target that fails most of its runs is no evidence against the job.
      if (isHealthy) addFailedInstance(job, instanceId);
      if (isHealthy && others.length > 0) return false;
      updateSuccessShare(instanceId, 0);
      return true;
    },
    recordSuccess: (instanceId) => {
      updateSuccessShare(instanceId, 1);
    },
    millisecondsUntilRetry: (job) => {
      const found = find(job);
      if (found === undefined || found.instances.size < minimumFailedTargets) return 0;
      return Math.max(0, found.expiresAt - now());
    },
  };
}
