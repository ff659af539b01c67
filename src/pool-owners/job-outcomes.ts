/**
 * What callers ask of an owner, and what they can be told.
 * @packageDocumentation
 */
import type { JobDefinition, JobState, QueueTerms } from "../jobs/index.js";

/** A job that a caller hands in. */
export interface JobSubmission {
  readonly jobId: string;
  readonly terms: QueueTerms;
  readonly definition: JobDefinition;
  /** How long the caller waits for the answer. */
  readonly deadlineMilliseconds: number;
  /** The caller's workspace; undefined where callers are not told apart. */
  readonly workspace?: string | undefined;
}

/** What a submission brought. */
export type SubmitOutcome =
  | { readonly kind: "accepted" }
  /** The job was not accepted and will not run. */
  | { readonly kind: "refused"; readonly reason: string; readonly retryAfterMilliseconds: number }
  /** The job may or may not have been accepted. */
  | { readonly kind: "unknown"; readonly reason: string };

/** What a question about a job brought; `not-known` when this owner holds no such job. */
export type StateOutcome =
  { readonly kind: "state"; readonly state: JobState } | { readonly kind: "not-known" };

/** What a cancellation brought. */
export type CancelOutcome =
  | { readonly kind: "cancelled" }
  | { readonly kind: "not-known" }
  | { readonly kind: "unknown"; readonly reason: string };
