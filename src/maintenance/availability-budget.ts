/**
 * Availability budget of a service: the share of requests in a time window that may still fail under its objective.
 * @packageDocumentation
 */
import type { OutcomeKind } from "../execution/index.js";

/** Ended requests of a service: `good` ones were answered in time, all others are `bad`. */
export interface RequestCounts {
  readonly good: number;
  readonly bad: number;
}

/** Counts of the whole window and of its most recent part. */
export interface WindowCounts {
  readonly window: RequestCounts;
  readonly recent: RequestCounts;
}

/** Counts this entry's ended requests of one service in a sliding window. */
export interface BudgetWindow {
  /** Counts one ended request. */
  record(isGood: boolean): void;
  /** Returns the counts within the window as of now. */
  counts(): WindowCounts;
}

/** State of an availability budget. */
export interface BudgetState {
  /** Share of the budget that is left: 1 when no request failed, below 0 when the budget is exceeded. */
  readonly left: number;
  /** Rate at which recent requests consume the budget; at 1 it would be used up exactly within one window. */
  readonly burnRate: number;
}

/** Resolution of the sliding window: counts expire in steps of a sixtieth of its length. */
const bucketsPerWindow = 60;
/** Buckets on which the burn rate is computed, the current one included. */
const recentBuckets = 5;
const millisecondsPerSecond = 1_000;
const zeroCounts: RequestCounts = { good: 0, bad: 0 };

/**
 * Creates an empty window.
 * @param windowSeconds - length of the window in seconds
 * @param now - returns the time in milliseconds since the epoch
 * @returns the window
 */
export function createBudgetWindow(windowSeconds: number, now: () => number): BudgetWindow {
  const bucketMilliseconds = (windowSeconds * millisecondsPerSecond) / bucketsPerWindow;
  const buckets = new Map<number, RequestCounts>();
  const currentBucket = (): number => Math.floor(now() / bucketMilliseconds);

  const sumSince = (oldest: number): RequestCounts =>
    [...buckets]
      .filter(([bucket]) => bucket >= oldest)
      .reduce((sum, [, counts]) => addCounts(sum, counts), zeroCounts);

  return {
    record: (isGood) => {
      const bucket = currentBucket();
      buckets.set(
        bucket,
        addCounts(buckets.get(bucket) ?? zeroCounts, { good: isGood ? 1 : 0, bad: isGood ? 0 : 1 }),
      );
      for (const old of [...buckets.keys()].filter((key) => key <= bucket - bucketsPerWindow)) {
        buckets.delete(old);
      }
    },
    counts: () => ({
      window: sumSince(currentBucket() - bucketsPerWindow + 1),
      recent: sumSince(currentBucket() - recentBuckets + 1),
    }),
  };
}

/**
 * Adds two counts field by field.
 * @param left - the first counts
 * @param right - the second counts
 * @returns new counts with the sums
 */
export function addCounts(left: RequestCounts, right: RequestCounts): RequestCounts {
  return { good: left.good + right.good, bad: left.bad + right.bad };
}

/**
 * Computes a service's availability budget.
 * @param counts - sums of the counts of all entries
 * @param objective - share of requests that must be good, between 0 and 1
 * @returns the budget; without requests it is unused and its burn rate is 0
 */
export function computeBudget(counts: WindowCounts, objective: number): BudgetState {
  const burn = ({ good, bad }: RequestCounts): number =>
    good + bad === 0 ? 0 : bad / (good + bad) / (1 - objective);
  return { left: 1 - burn(counts.window), burnRate: burn(counts.recent) };
}

/**
 * Classifies an ended request as good or bad.
 * @param outcome - how the request ended
 * @param milliseconds - duration of the request
 * @param deadlineMilliseconds - deadline of the service's requests, inclusive
 * @returns true if the request was answered within the deadline
 */
export function isGoodOutcome(
  outcome: OutcomeKind,
  milliseconds: number,
  deadlineMilliseconds: number,
): boolean {
  return outcome === "answered" && milliseconds <= deadlineMilliseconds;
}
