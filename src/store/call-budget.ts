/**
 * Budget of calls a second, as token buckets with a share that only lease renewals may use.
 * @packageDocumentation
 */
import { delay } from "../shared/index.js";

/** What a call is for. */
export type CallPurpose = "lease" | "other";

/** A budget of calls. */
export interface CallBudget {
  /**
   * Takes one call from the budget, after waiting for it if it comes free within the bound.
   * @param purpose - renewals of leases may use all of the budget, other calls leave their share alone
   * @param maximumWaitMilliseconds - the bound
   * @returns whether the call may be made
   */
  take(purpose: CallPurpose, maximumWaitMilliseconds: number): Promise<boolean>;
}

const leaseRenewalShare = 0.2;
const millisecondsPerSecond = 1_000;

/**
 * Creates a budget with one second's calls in it.
 * @param callsPerSecond - calls a second, lease renewals included
 * @returns the budget
 */
export function createCallBudget(callsPerSecond: number): CallBudget {
  const leases = createTokenBucket(callsPerSecond * leaseRenewalShare);
  const others = createTokenBucket(callsPerSecond * (1 - leaseRenewalShare));
  return {
    take: async (purpose, maximumWaitMilliseconds) => {
      const usesLeaseShare = purpose === "lease" && leases.waitMilliseconds() <= others.waitMilliseconds();
      return (usesLeaseShare ? leases : others).take(maximumWaitMilliseconds);
    },
  };
}

interface TokenBucket {
  waitMilliseconds(): number;
  take(maximumWaitMilliseconds: number): Promise<boolean>;
}

function createTokenBucket(tokensPerSecond: number): TokenBucket {
  const capacity = Math.max(1, tokensPerSecond);
  let tokens = capacity;
  let filledAt = performance.now();

  const waitMilliseconds = (): number => {
    const now = performance.now();
    tokens = Math.min(capacity, tokens + ((now - filledAt) / millisecondsPerSecond) * tokensPerSecond);
    filledAt = now;
    return Math.max(0, ((1 - tokens) / tokensPerSecond) * millisecondsPerSecond);
  };

  return {
    waitMilliseconds,
    take: async (maximumWaitMilliseconds) => {
      const wait = waitMilliseconds();
      if (wait > maximumWaitMilliseconds) return false;
      // Tokens below zero are those of calls that wait for them, first come first served.
      tokens -= 1;
      if (wait > 0) await delay(wait);
      return true;
    },
  };
}
