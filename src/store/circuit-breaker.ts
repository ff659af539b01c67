/**
 * Circuit breaker: calls fail at once while the store is known not to answer.
 * @packageDocumentation
 */
import type { Random } from "../shared/index.js";

/** State of a breaker. */
export type BreakerState = "closed" | "open" | "half-open";

/** A circuit breaker. */
export interface CircuitBreaker {
  /** The state now. */
  state(): BreakerState;
  /**
   * Asks to make a call. While half-open, one call at a time is let through.
   * @returns whether the call may be made; its result must then be recorded
   */
  allow(): boolean;
  /** Records how an allowed call ended. */
  record(succeeded: boolean): void;
}

const failuresToOpen = 5;
const shortestOpenMilliseconds = 500;
const longestOpenMilliseconds = 1_000;

/**
 * Creates a closed breaker.
 * @param random - spreads the probes of many entries
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
