/**
 * How a caller's request ended.
 * @packageDocumentation
 */
import type { TargetAnswer, UnknownReason } from "../forwarding/index.js";
import type { SlotRefusalReason } from "../routing/index.js";

/**
 * - `answered`: a target ran the request and gave a whole answer.
 * - `refused`: the request was not run; it may be sent again.
 * - `failed`: a target ran the request and said by its answer that the run failed.
 * - `unknown`: the request may have run.
 */
export type OutcomeKind = "answered" | "refused" | "failed" | "unknown";

/** Why a request was refused. */
export type RefusalReason =
  | SlotRefusalReason
  | "not-ready"
  | "shutting-down"
  | "targets-unreachable"
  | "retry-budget"
  | "body-memory"
  /** The store could not confirm the claim on the idempotency key. */
  | "claims-unavailable"
  /** The idempotency key belongs to a request with another content. */
  | "key-reused"
  /** The same job failed on several healthy targets a short while ago. */
  | "job-fails";

/** What is known of an earlier request under the same idempotency key, when its answer is not held. */
export type EarlierRunReason = "already-running" | "already-run" | "earlier-run-unknown";

/** A request that was refused. */
export interface RefusedOutcome {
  readonly kind: "refused";
  readonly reason: RefusalReason;
  readonly retryAfterMilliseconds: number;
  readonly attempts: number;
}

/** A request that ended with a target's whole answer. */
export interface AnswerOutcome {
  readonly kind: "answered" | "failed";
  readonly answer: TargetAnswer;
  readonly attempts: number;
  /** Whether this is the held answer of an earlier request under the same idempotency key. */
  readonly replayed: boolean;
}

/** A request that may have run. */
export interface UnknownOutcome {
  readonly kind: "unknown";
  readonly reason: UnknownReason | EarlierRunReason;
  readonly attempts: number;
}

/** How a caller's request ended. */
export type Outcome = AnswerOutcome | RefusedOutcome | UnknownOutcome;

const internalError = 500;

/**
 * Judges a target's whole answer.
 * @param answer - the answer
 * @param attempts - how many targets the request was sent to
 * @param replayed - whether the answer is held from an earlier request
 * @returns the outcome
 */
export function judgeAnswer(answer: TargetAnswer, attempts: number, replayed = false): AnswerOutcome {
  const kind = answer.status >= internalError ? "failed" : "answered";
  return { kind, answer, attempts, replayed };
}
