/**
 * Limits retries to a share of the first attempts, so that retries cannot amplify an overload.
 * @packageDocumentation
 */

/** Token bucket for retries: each first attempt adds a part of a token, each retry takes one. */
export interface RetryBudget {
  /** Adds the share of a token that a first attempt contributes. */
  addFirstAttempt(): void;
  /** Takes a token for a retry; returns false when none is left and the retry must not be sent. */
  takeToken(): boolean;
}

/** Limits retries to a tenth of the first attempts in the long run. */
const tokensPerFirstAttempt = 0.1;
const maximumTokens = 100;
const initialTokens = 10;

/**
 * Creates a budget that allows ten retries before the first attempts have added any token.
 * @returns the budget
 */
export function createRetryBudget(): RetryBudget {
  let tokens = initialTokens;
  return {
    addFirstAttempt: () => {
      tokens = Math.min(maximumTokens, tokens + tokensPerFirstAttempt);
    },
    takeToken: () => {
      if (tokens < 1) return false;
      tokens -= 1;
      return true;
    },
  };
}
