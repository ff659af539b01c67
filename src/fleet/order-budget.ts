/**
 * Rate limit for machine orders. In a load surge on a large fleet, orders are sent as fast as the platform accepts them,
 * independent of the number of machines, and never faster.
 * @packageDocumentation
 */

const millisecondsPerSecond = 1_000;
/** Share of the platform's rate that is used. The rest is left for retries and for the last orders of another holder. */
const usedShare = 0.8;
/** Unused budget accumulates for at most this time, so that no burst follows a pause. */
const maximumSavedMilliseconds = 500;
/** Without it, a very low rate would never allow a whole order. */
const minimumCapacity = 1;

/** Limits orders to the platform's rate. */
export interface OrderBudget {
  /** Returns how many orders may be sent at `now`, in milliseconds of the monotonic clock. */
  available(now: number): number;
  /** Deducts orders that are about to be sent. */
  take(orders: number): void;
}

/**
 * Creates a budget.
 * @param ordersPerSecond - the rate that the platform accepts from all entries together
 * @returns the budget, full
 */
export function createOrderBudget(ordersPerSecond: number): OrderBudget {
  const perMillisecond = (ordersPerSecond * usedShare) / millisecondsPerSecond;
  const capacity = Math.max(minimumCapacity, perMillisecond * maximumSavedMilliseconds);
  let left = capacity;
  let filledAt: number | undefined;
  return {
    available: (now) => {
      left = Math.min(capacity, left + (now - (filledAt ?? now)) * perMillisecond);
      filledAt = now;
      return Math.floor(left);
    },
    take: (orders) => {
      left -= orders;
    },
  };
}
