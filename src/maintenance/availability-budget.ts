/**
 * The availability budget of each service: how many requests may still fail within its window.
 * @packageDocumentation
 */
import type { OutcomeKind } from "../execution/index.js";

/** Requests of a service that ended well or badly. */
export interface RequestCounts {
  readonly good: number;
  readonly bad: number;
}

/** Counts of the whole window and of its newest part. */
export interface WindowCounts {
  readonly window: RequestCounts;
  readonly recent: RequestCounts;
}

/** Counts ended requests of this entry. */
export interface BudgetWindow {
  /** Counts a request. */
  record(isGood: boolean): void;
  /** Counts within the window. */
  counts(): WindowCounts;
}

/** What an objective leaves of a window. */
export interface BudgetState {
  /** Share of the budget that is left; below 0 when it is overdrawn. */
  readonly left: number;
  /** How fast the recent requests use the budget up; 1 uses it up just within the window. */
  readonly burnRate: number;
}

const bucketsPerWindow = 60;
const recentBuckets = 5;
const millisecondsPerSecond = 1_000;
const zeroCounts: RequestCounts = { good: 0, bad: 0 };

/**
 * Creates a window.
 * @param windowSeconds - its length
 * @param now - the time in milliseconds since the epoch
 * @returns the empty window
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
 * Adds counts.
 * @param left - some counts
 * @param right - other counts
 * @returns the sums
 */
export function addCounts(left: RequestCounts, right: RequestCounts): RequestCounts {
  return { good: left.good + right.good, bad: left.bad + right.bad };
}

/**
 * Works out what an objective leaves.
 * @param counts - counts of all entries
 * @param objective - share of requests that must end well
 * @returns the budget's state; untouched without requests
 */
export function computeBudget(counts: WindowCounts, objective: number): BudgetState {
  const burn = ({ good, bad }: RequestCounts): number =>
    good + bad === 0 ? 0 : bad / (good + bad) / (1 - objective);
  return { left: 1 - burn(counts.window), burnRate: burn(counts.recent) };
}

/**
 * Judges how a request ended.
 * @param outcome - its outcome
 * @param milliseconds - how long it took
 * @param deadlineMilliseconds - how long the service may take
 * @returns whether it was answered in time
 */
export function isGoodOutcome(
  outcome: OutcomeKind,
  milliseconds: number,
  deadlineMilliseconds: number,
): boolean {
  return outcome === "answered" && milliseconds <= deadlineMilliseconds;
}
