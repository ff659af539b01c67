/**
 * How many orders for machines may be given now. Answers a turn of demand on a large fleet: machines come as fast as the
 * platform takes orders, whatever the number of machines, and never faster.
 * @packageDocumentation
 */

const millisecondsPerSecond = 1_000;
/** Retries and another holder's last orders use the rest of the rate. */
const usedShare = 0.8;
/** Orders that were not given are not saved up for longer. */
const maximumSavedMilliseconds = 500;
const minimumCapacity = 1;

/** Counts orders against the platform's rate. */
export interface OrderBudget {
  /** How many orders may be given at a time of the monotonic clock. */
  available(now: number): number;
  /** Takes orders that are given. */
  take(orders: number): void;
}

/**
 * Creates a budget.
 * @param ordersPerSecond - what the platform takes from all entries together
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
