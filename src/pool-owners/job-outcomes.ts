/**
 * Requests of callers to an owner and their outcomes.
 * @packageDocumentation
 */
import type { JobDefinition, JobState, QueueTerms } from "../jobs/index.js";

/** A job that a caller submits. */
export interface JobSubmission {
  readonly jobId: string;
  readonly terms: QueueTerms;
  readonly definition: JobDefinition;
  /** How long the caller waits for the answer. */
  readonly deadlineMilliseconds: number;
  /** The caller's workspace; undefined where callers are not authenticated. */
  readonly workspace?: string | undefined;
}

/** The outcome of a submission. */
export type SubmitOutcome =
  | { readonly kind: "accepted" }
  /** The job was not accepted and will not run. */
  | { readonly kind: "refused"; readonly reason: string; readonly retryAfterMilliseconds: number }
  /** The job may or may not have been accepted. */
  | { readonly kind: "unknown"; readonly reason: string };

/**
 * The outcome of a query for a job's state; `not-known` when this owner has no such job, `undecided` while it is not known
 * whether a submission of the job is accepted.
 */
export type StateOutcome =
  | { readonly kind: "state"; readonly state: JobState }
  | { readonly kind: "not-known" }
  | { readonly kind: "undecided" };

/**
 * The outcome of a cancellation; `not-accepted` when there is no such job, and none with its identifier is accepted for some
 * time; `not-known` when this owner has no such job, but another one may have it.
 */
export type CancelOutcome =
  | { readonly kind: "cancelled" }
  | { readonly kind: "not-accepted" }
  | { readonly kind: "not-known" }
  | { readonly kind: "unknown"; readonly reason: string };
