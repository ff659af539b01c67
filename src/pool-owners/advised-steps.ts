/**
 * Connects the steps of a round to the advice about them.
 * @packageDocumentation
 */
import type { Job } from "../jobs/index.js";
import type { StepPlace, TargetView } from "../scheduling/index.js";
import type { OwnerState } from "./owner-state.js";
import { unrestrictedAccess, type StepAccess } from "./step-access.js";

/**
 * Finds on which targets a step may run.
 * @param state - the owner
 * @param job - the step's job
 * @param stepKey - the step
 * @returns the access by the advice so far; unrestricted for a queue without an advice service
 */
export function findAccess({ advice }: OwnerState, { record }: Job, stepKey: string): StepAccess {
  return record.terms.needsAdvice ? advice.access(stepKey) : unrestrictedAccess;
}

/**
 * Notes that a step has tasks without a target on which they may start, so that advice about further targets is requested.
 * @param state - the owner
 * @param job - the step's job; nothing is noted for a queue without an advice service
 * @param place - the step
 * @param views - the targets that may be used, with the room that the round has left
 */
export function wantAdvice(
  { advice }: OwnerState,
  { record }: Job,
  place: StepPlace,
  views: readonly TargetView[],
): void {
  const { needsAdvice, adviceTiming } = record.terms;
  if (needsAdvice) advice.want({ place, timing: adviceTiming, views });
}
