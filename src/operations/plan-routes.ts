/**
 * Operators' view of the capacity plan.
 * @packageDocumentation
 */
import type { CapacityManager, PlanReport } from "../capacity/index.js";

/** Path at which operators read the plan. */
export const planPath = "/operator/plan";

/**
 * Creates the reader of the plan, to be registered for GET at {@link planPath}.
 * @param capacity - plans the capacity
 * @returns produces the body of the answer; it changes nothing
 */
export function createPlanReader(capacity: CapacityManager): () => Promise<PlanReport> {
  return async () => capacity.dryRun();
}
