/**
 * Times of the first submission of jobs that were refused: a job's objective counts from its first submission, also when
 * the caller submits it again later.
 * @packageDocumentation
 */

/** Bounded record of the first submission times of jobs. */
export interface FirstRequests {
  /**
   * Records a submission.
   * @param jobId - the job's identifier
   * @param now - the current time by the monotonic clock, in milliseconds
   * @returns the time of the job's first recorded submission
   */
  note(jobId: string, now: number): number;
}

/** Bounds the memory that refused jobs take. */
const maximumJobs = 5_000;

/**
 * Creates an empty record.
 * @returns the record, which drops the oldest job when it holds more than the maximum
 */
export function createFirstRequests(): FirstRequests {
  const requests = new Map<string, number>();
  return {
    note: (jobId, now) => {
      const first = requests.get(jobId) ?? now;
      requests.set(jobId, first);
      const [oldest] = requests.keys();
      if (requests.size > maximumJobs && oldest !== undefined) requests.delete(oldest);
      return first;
    },
  };
}
