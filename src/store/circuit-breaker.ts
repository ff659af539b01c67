/**
 * Circuit breaker: after repeated failures calls fail immediately, until a probe succeeds.
 * @packageDocumentation
 */
import type { Random } from "../shared/index.js";

/** `closed` lets all calls through, `open` refuses all, `half-open` lets one probe at a time through. */
export type BreakerState = "closed" | "open" | "half-open";

/** A circuit breaker. */
export interface CircuitBreaker {
  /** Returns the current state. */
  state(): BreakerState;
  /**
   * Requests permission for a call. While half-open, one call at a time is permitted.
   * @returns whether the call may be made; the caller then has to pass its result to `record`
   */
  allow(): boolean;
  /** Records whether a permitted call succeeded. */
  record(succeeded: boolean): void;
}

const failuresToOpen = 5;
const shortestOpenMilliseconds = 500;
const longestOpenMilliseconds = 1_000;

/**
 * Creates a closed breaker.
 * @param random - draws the time until a probe, so that many entries do not probe at the same moment
 * @returns the breaker
 */
export function createCircuitBreaker(random: Random): CircuitBreaker {
  let failures = 0;
  let openUntil = 0;
  let isProbing = false;

  const state = (): BreakerState => {
    if (failures < failuresToOpen) return "closed";
    return performance.now() < openUntil ? "open" : "half-open";
  };

  return {
    state,
    allow: () => {
      const currentState = state();
      if (currentState === "closed") return true;
      if (currentState === "open" || isProbing) return false;
      isProbing = true;
      return true;
    },
    record: (succeeded) => {
      isProbing = false;
      failures = succeeded ? 0 : failures + 1;
      if (failures >= failuresToOpen) {
        openUntil = performance.now() + random.integer(shortestOpenMilliseconds, longestOpenMilliseconds);
      }
    },
  };
}
