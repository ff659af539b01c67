/**
 * Decides whether a job is accepted in a pool that workspaces share. When one workspace sends many times its usual load, its
 * jobs beyond its share only get room for which no other job waits, and are refused at once where others wait.
 * @packageDocumentation
 */
import {
  admitJob,
  longestRetryMilliseconds,
  shortestRetryMilliseconds,
  type JobForecast,
} from "./admission.js";

/** A workspace's use of a pool in relation to its share, at the arrival of one of its jobs. */
export interface WorkspaceShareStatus {
  /** Whether it has recently used its share of the pool. */
  readonly isOverShare: boolean;
  /** Time until it is within its share again. */
  readonly waitMilliseconds: number;
  /** Time until the job would end within the limit of the workspace; 0 where the limit does not delay it. */
  readonly limitEndMilliseconds: number;
  /** Run time of the job on idle targets. */
  readonly chainMilliseconds: number;
  /** A number from 0 to below 1 that differs for each job, so that callers refused together do not retry together. */
  readonly spread: number;
}

/** Why a job is refused: no room in the pool in time, the workspace is over its share, or the workspace's limit. */
export type ShareRefusal = "backlog" | "share" | "limit";

/** The decision on a job. */
export type ShareAdmission =
  | { readonly kind: "accept" }
  | { readonly kind: "refuse"; readonly cause: ShareRefusal; readonly retryAfterMilliseconds: number };

/** Retries are spread over at most this time, since callers do not wait long. */
const maximumSpreadMilliseconds = 4_000;

/**
 * Decides whether to accept a job of a workspace.
 * @param forecast - when the job would end in the pool's room, and when it should
 * @param status - the workspace's use of the pool
 * @returns acceptance, or a refusal with its cause and the time until a retry
 */
export function admitInShare(forecast: JobForecast, status: WorkspaceShareStatus): ShareAdmission {
  const { isOverShare, limitEndMilliseconds } = status;
  const byPool = admitJob(forecast);
  if (byPool.kind === "refuse") {
    const { retryAfterMilliseconds: expected } = byPool;
    if (!isOverShare) return { ...byPool, cause: "backlog" };
    const retryAfterMilliseconds = Math.max(expected, spreadRetry(forecast, status));
    return { kind: "refuse", cause: "backlog", retryAfterMilliseconds };
  }
  const isLimited = limitEndMilliseconds > forecast.endMilliseconds;
  const limited = isLimited
    ? { ...forecast, endMilliseconds: limitEndMilliseconds, startsNow: false }
    : forecast;
  const byLimit = admitJob(limited);
  if (byLimit.kind === "refuse") return { ...byLimit, cause: "limit" };
  if (!isOverShare || forecast.startsNow) return { kind: "accept" };
  return { kind: "refuse", cause: "share", retryAfterMilliseconds: spreadRetry(forecast, status) };
}

/** Chooses a retry time between the end of the workspace's overuse and the last start at which the job still has a value. */
function spreadRetry(
  { latestMilliseconds }: JobForecast,
  { waitMilliseconds, chainMilliseconds, spread }: WorkspaceShareStatus,
): number {
  const first = clamp(waitMilliseconds, shortestRetryMilliseconds, longestRetryMilliseconds);
  const last = latestMilliseconds - chainMilliseconds;
  const width = clamp(last - first, shortestRetryMilliseconds, maximumSpreadMilliseconds);
  return Math.min(longestRetryMilliseconds, first + spread * width);
}

function clamp(value: number, least: number, most: number): number {
  return Math.min(most, Math.max(least, value));
}
