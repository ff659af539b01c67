/**
 * Decides whether a job is accepted. During a load surge, callers request several times the capacity of a pool. A job that
 * can no longer end in time is then refused at once, so that the accepted jobs do.
 * @packageDocumentation
 */

/** The forecast of a job at its arrival. All times count from now, in milliseconds. */
export interface JobForecast {
  /** When the job would end; infinite if it would not end within the horizon of the forecast. */
  readonly endMilliseconds: number;
  /** The objective: a job that ends by then has its full value; negative once it has passed. */
  readonly objectiveMilliseconds: number;
  /** The deadline: a job that ends later has no value. */
  readonly latestMilliseconds: number;
  /** Whether the job's first tasks could start at once. */
  readonly startsNow: boolean;
}

/** The decision on a job. */
export type JobAdmission =
  { readonly kind: "accept" } | { readonly kind: "refuse"; readonly retryAfterMilliseconds: number };

/** Lower bound of the time after which a refused caller is told to retry. */
export const shortestRetryMilliseconds = 1_000;
/** Upper bound of the time after which a refused caller is told to retry. */
export const longestRetryMilliseconds = 15_000;

/**
 * Decides whether to accept a job.
 * @param forecast - when the job would end, and when it should
 * @returns acceptance, or a refusal with the time until room is expected
 */
export function admitJob(forecast: JobForecast): JobAdmission {
  const { endMilliseconds, objectiveMilliseconds, latestMilliseconds, startsNow } = forecast;
  if (endMilliseconds <= objectiveMilliseconds) return { kind: "accept" };
  // A job past its objective has little value, so it only gets room for which no other job waits.
  if (startsNow && endMilliseconds <= latestMilliseconds) return { kind: "accept" };
  const wait = endMilliseconds - Math.max(0, objectiveMilliseconds);
  const retryAfterMilliseconds = Math.min(
    longestRetryMilliseconds,
    Math.max(shortestRetryMilliseconds, wait),
  );
  return { kind: "refuse", retryAfterMilliseconds };
}
