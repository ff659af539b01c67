/**
 * When callers first handed jobs in that were refused: their time runs from then on.
 * @packageDocumentation
 */

/** Remembers first requests for a while. */
export interface FirstRequests {
  /**
   * Notes a request.
   * @param jobId - the job
   * @param now - the monotonic clock
   * @returns when the job was first asked for
   */
  note(jobId: string, now: number): number;
}

const maximumJobs = 5_000;

/**
 * Creates an empty memory.
 * @returns the memory, which forgets the oldest requests when it is full
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
