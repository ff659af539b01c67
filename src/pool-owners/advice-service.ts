/**
 * The external advice service, which decides on which targets the policy of a queue allows a step to run.
 * @packageDocumentation
 */
import type { Either } from "purify-ts";

/** Response of the advice service for one step. */
export interface Advice {
  /** Tickets by target; the named targets without a ticket may not run the step. */
  readonly tickets: ReadonlyMap<string, string>;
  readonly validMilliseconds: number;
}

/** Client of the external advice service. */
export interface AdviceService {
  /**
   * Requests tickets for the targets that may run a step.
   * @param stepName - `job.occurrence.step`
   * @param targetIds - the candidate targets
   * @param timeoutMilliseconds - how long to wait for the response
   * @returns the advice, or an error message
   */
  requestAdvice(
    stepName: string,
    targetIds: readonly string[],
    timeoutMilliseconds: number,
  ): Promise<Either<string, Advice>>;
}
