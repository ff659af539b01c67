/**
 * Jobs that fail on every target, told apart from targets that fail every job.
 * @packageDocumentation
 */

/** Memory of failing jobs and of how targets do. */
export interface FailedJobs {
  /** Whether any job is remembered, so that computing a digest is worth it. */
  isEmpty(): boolean;
  /**
   * Records a run that failed.
   * @param job - digest of the job
   * @param instanceId - the target
   * @returns whether the failure speaks against the target
   */
  recordFailure(job: string, instanceId: string): boolean;
  /** Records a run that succeeded. */
  recordSuccess(instanceId: string): void;
  /**
   * Tells whether a job failed on enough healthy targets to be final.
   * @param job - digest of the job
   * @returns how long it stays final, in milliseconds; 0 when it is not
   */
  finalFor(job: string): number;
}

interface FailingJob {
  readonly instances: Set<string>;
  readonly expiresAt: number;
}

const distinctTargets = 2;
const memoryMilliseconds = 30_000;
const maximumJobs = 10_000;
const healthWeight = 0.2;
const healthyShare = 0.5;

/**
 * Creates an empty memory.
 * @param now - the clock
 * @returns the memory
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

  const remember = (job: string, instanceId: string): void => {
    const found = find(job);
    if (found !== undefined) {
      found.instances.add(instanceId);
      return;
    }
    jobs.set(job, { instances: new Set([instanceId]), expiresAt: now() + memoryMilliseconds });
    const oldest = jobs.keys().next();
    if (jobs.size > maximumJobs && oldest.done !== true) jobs.delete(oldest.value);
  };

  const track = (instanceId: string, success: number): void => {
    const share = successShares.get(instanceId) ?? 1;
    successShares.set(instanceId, share + healthWeight * (success - share));
  };

  return {
    isEmpty: () => jobs.size === 0,
    recordFailure: (job, instanceId) => {
      const others = [...(find(job)?.instances ?? [])].filter((other) => other !== instanceId);
      const isHealthy = (successShares.get(instanceId) ?? 1) >= healthyShare;
      // A failure on a target that fails most of its work says nothing about the job.
      if (isHealthy) remember(job, instanceId);
      if (isHealthy && others.length > 0) return false;
      track(instanceId, 0);
      return true;
    },
    recordSuccess: (instanceId) => {
      track(instanceId, 1);
    },
    finalFor: (job) => {
      const found = find(job);
      if (found === undefined || found.instances.size < distinctTargets) return 0;
      return Math.max(0, found.expiresAt - now());
    },
  };
}
