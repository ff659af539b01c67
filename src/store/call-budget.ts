/**
 * Rate limit of store calls: two token buckets, one of which is reserved for lease calls.
 * @packageDocumentation
 */
import { delay } from "../shared/index.js";

/** Purpose of a call: `lease` for renewing or revoking a lease, `other` for everything else. */
export type CallPurpose = "lease" | "other";

/** A rate limit for calls. */
export interface CallBudget {
  /**
   * Takes one call from the budget, after waiting for a free token if one becomes available in time.
   * @param purpose - `lease` calls may use both buckets, other calls only their own
   * @param maximumWaitMilliseconds - a call that would wait longer is refused at once
   * @returns whether the call may be made
   */
  take(purpose: CallPurpose, maximumWaitMilliseconds: number): Promise<boolean>;
}

/** Share reserved for lease calls, so that other calls cannot delay a renewal until its lease ends. */
const leaseRenewalShare = 0.2;
const millisecondsPerSecond = 1_000;

/**
 * Creates a budget whose buckets are full: the calls of one second are available at once.
 * @param callsPerSecond - limit over both buckets, lease renewals included
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
  /** Returns how long a call would wait for a token now; 0 when one is available. */
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
      // A negative count is the number of calls that wait for a token; calls are served in order of arrival.
      tokens -= 1;
      if (wait > 0) await delay(wait);
      return true;
    },
  };
}
