/**
 * Operators' route for the capacity plan.
 * @packageDocumentation
 */
import type { CapacityManager, PlanReport } from "../capacity/index.js";

/** URL path of the capacity plan. */
export const planPath = "/operator/plan";

/**
 * Creates the handler for GET requests at {@link planPath}.
 * @param capacity - computes the plan
 * @returns a function that computes the plan without carrying it out and returns it as the response body
 */
export function createPlanReader(capacity: CapacityManager): () => Promise<PlanReport> {
  return async () => capacity.dryRun();
}
