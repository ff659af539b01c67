/**
 * Deduplicates concurrent submissions: only one decision per job identifier is in progress at a time.
 * @packageDocumentation
 */
import type { JobSubmission, SubmitOutcome } from "./job-outcomes.js";

interface Decision {
  readonly workspace: string | undefined;
  readonly outcome: Promise<SubmitOutcome>;
}

/** The submissions of one owner on which the decision is in progress. */
export class SubmissionsInProgress {
  readonly #decisions = new Map<string, Decision>();

  /**
   * Decides on a submission, or waits for the decision in progress on the same identifier.
   * @param submission - the submission
   * @param decide - makes the decision; called only when none is in progress for the identifier
   * @returns the outcome; undefined when the decision was on another workspace's submission, so that the caller has to
   * try again
   */
  async decide(
    { jobId, workspace }: JobSubmission,
    decide: () => Promise<SubmitOutcome>,
  ): Promise<SubmitOutcome | undefined> {
    const decision = this.#decisions.get(jobId) ?? { workspace, outcome: decide() };
    this.#decisions.set(jobId, decision);
    const outcome = await decision.outcome;
    // Another waiter may have started the next decision on the identifier already.
    if (this.#decisions.get(jobId) === decision) this.#decisions.delete(jobId);
    return decision.workspace === workspace ? outcome : undefined;
  }

  /** Whether the decision on an identifier is in progress, so that it is not known whether its job is accepted. */
  isDeciding(jobId: string): boolean {
    return this.#decisions.has(jobId);
  }

  /**
   * Waits for the decision on an identifier that is in progress; another one may begin before the caller goes on.
   * @param jobId - the identifier
   */
  async untilDecided(jobId: string): Promise<void> {
    await this.#decisions.get(jobId)?.outcome;
  }
}
