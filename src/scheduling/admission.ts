/**
 * Decides whether a job is accepted. Answers a turn of demand in which a pool is asked for several times what it can do:
 * a job that cannot be in time any more is refused at once, so that those that were accepted are.
 * @packageDocumentation
 */

/** What is known when a job comes. */
export interface JobForecast {
  /** When the job would end, from now; infinite for one that would not within the horizon. */
  readonly endMilliseconds: number;
  /** The time in which the job is worth most, from now; negative once it has passed. */
  readonly objectiveMilliseconds: number;
  /** The time in which the job is worth anything, from now. */
  readonly latestMilliseconds: number;
  /** Whether the job's first tasks could start at once. */
  readonly startsNow: boolean;
}

/** What is answered. */
export type JobAdmission =
  { readonly kind: "accept" } | { readonly kind: "refuse"; readonly retryAfterMilliseconds: number };

/** Callers come again no earlier than this after a refusal. */
export const shortestRetryMilliseconds = 1_000;
/** Callers come again no later than this after a refusal. */
export const longestRetryMilliseconds = 15_000;

/**
 * Decides on a job.
 * @param forecast - when the job would end, and when it should
 * @returns acceptance, or when room is expected
 */
export function admitJob(forecast: JobForecast): JobAdmission {
  const { endMilliseconds, objectiveMilliseconds, latestMilliseconds, startsNow } = forecast;
  if (endMilliseconds <= objectiveMilliseconds) return { kind: "accept" };
  // A late job is worth little: it only takes room that nobody else asks for.
  if (startsNow && endMilliseconds <= latestMilliseconds) return { kind: "accept" };
  const wait = endMilliseconds - Math.max(0, objectiveMilliseconds);
  const retryAfterMilliseconds = Math.min(
    longestRetryMilliseconds,
    Math.max(shortestRetryMilliseconds, wait),
  );
  return { kind: "refuse", retryAfterMilliseconds };
}
