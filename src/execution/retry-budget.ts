/**
 * Bounds retries to a share of the first attempts, so that retries cannot multiply an overload.
 * @packageDocumentation
 */

/** Tokens for retries. */
export interface RetryBudget {
  /** Earns a share of a token for a first attempt. */
  earn(): void;
  /** Takes a token; returns whether there was one. */
  take(): boolean;
}

const tokensPerFirstAttempt = 0.1;
const maximumTokens = 100;
const initialTokens = 10;

/**
 * Creates a budget with a few tokens in it.
 * @returns the budget
 */
export function createRetryBudget(): RetryBudget {
  let tokens = initialTokens;
  return {
    earn: () => {
      tokens = Math.min(maximumTokens, tokens + tokensPerFirstAttempt);
    },
    take: () => {
      if (tokens < 1) return false;
      tokens -= 1;
      return true;
    },
  };
}
