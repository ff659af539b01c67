/**
 * Submissions that are being decided: one identifier is decided once at a time.
 * @packageDocumentation
 */
import type { JobSubmission, SubmitOutcome } from "./job-outcomes.js";

interface Decision {
  readonly workspace: string | undefined;
  readonly outcome: Promise<SubmitOutcome>;
}

/** The submissions of one owner that are being decided. */
export class SubmissionsInProgress {
  readonly #decisions = new Map<string, Decision>();

  /**
   * Decides a submission, or waits for the decision on the same identifier that is on its way.
   * @param submission - what is handed in
   * @param decide - decides it
   * @returns the outcome; undefined when another workspace's submission was decided meanwhile, which says nothing about
   * this one
   */
  async decide(
    { jobId, workspace }: JobSubmission,
    decide: () => Promise<SubmitOutcome>,
  ): Promise<SubmitOutcome | undefined> {
    const decision = this.#decisions.get(jobId) ?? { workspace, outcome: decide() };
    this.#decisions.set(jobId, decision);
    const outcome = await decision.outcome;
    // Somebody who waited for it may have begun the next.
    if (this.#decisions.get(jobId) === decision) this.#decisions.delete(jobId);
    return decision.workspace === workspace ? outcome : undefined;
  }
}
