/**
 * Decides on a job of a workspace in a pool that workspaces share. Answers one workspace that sends many times its usual:
 * what it asks for beyond its share takes room that nobody waits for, and is refused at once where others wait.
 * @packageDocumentation
 */
import {
  admitJob,
  longestRetryMilliseconds,
  shortestRetryMilliseconds,
  type JobForecast,
} from "./admission.js";

/** Where a workspace stands in its pool when one of its jobs comes. */
export interface WorkspaceShareStatus {
  /** Whether it has lately had its share of the pool. */
  readonly isOverShare: boolean;
  /** When it is within its share again, from now. */
  readonly waitMilliseconds: number;
  /** When the job would end in the room that the workspace may have; 0 where it has enough. */
  readonly limitEndMilliseconds: number;
  /** The time that the job takes on idle targets. */
  readonly chainMilliseconds: number;
  /** From 0 to below 1, another for each job: callers that are refused together do not come back together. */
  readonly spread: number;
}

/** Why a job is refused: no room in the pool in time, more than its share asked for, or its workspace's cap. */
export type ShareRefusal = "backlog" | "share" | "limit";

/** What is answered. */
export type ShareAdmission =
  | { readonly kind: "accept" }
  | { readonly kind: "refuse"; readonly cause: ShareRefusal; readonly retryAfterMilliseconds: number };

/** Returns are spread over no more than this, for callers do not wait long. */
const maximumSpreadMilliseconds = 4_000;

/**
 * Decides on a job.
 * @param forecast - when the job would end in the pool's room, and when it should
 * @param standing - where its workspace stands
 * @returns acceptance, or why not and when to come again
 */
export function admitInShare(forecast: JobForecast, standing: WorkspaceShareStatus): ShareAdmission {
  const { isOverShare, limitEndMilliseconds } = standing;
  const byPool = admitJob(forecast);
  if (byPool.kind === "refuse") {
    const { retryAfterMilliseconds: expected } = byPool;
    if (!isOverShare) return { ...byPool, cause: "backlog" };
    const retryAfterMilliseconds = Math.max(expected, spreadRetry(forecast, standing));
    return { kind: "refuse", cause: "backlog", retryAfterMilliseconds };
  }
  const isLimited = limitEndMilliseconds > forecast.endMilliseconds;
  const limited = isLimited
    ? { ...forecast, endMilliseconds: limitEndMilliseconds, startsNow: false }
    : forecast;
  const byLimit = admitJob(limited);
  if (byLimit.kind === "refuse") return { ...byLimit, cause: "limit" };
  if (!isOverShare || forecast.startsNow) return { kind: "accept" };
  return { kind: "refuse", cause: "share", retryAfterMilliseconds: spreadRetry(forecast, standing) };
}

/** Chooses a time between when the workspace is within its share and when the job would be worth nothing any more. */
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
