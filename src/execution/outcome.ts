/**
 * Outcomes of callers' requests.
 * @packageDocumentation
 */
import type { TargetAnswer, UnknownReason } from "../forwarding/index.js";
import type { SlotRefusalReason } from "../routing/index.js";

/**
 * - `answered`: a target ran the request and returned a complete answer.
 * - `refused`: the request was not run; it may be sent again.
 * - `failed`: a target ran the request and reported a failed run by an answer with status 500 or above.
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
  /** The idempotency key was already used for a request with different content. */
  | "key-reused"
  /** The same job recently failed on several healthy targets. */
  | "job-fails";

/** State of an earlier request with the same idempotency key when its answer is not cached. */
export type EarlierRunReason = "already-running" | "already-run" | "earlier-run-unknown";

/** A request that was refused. */
export interface RefusedOutcome {
  readonly kind: "refused";
  readonly reason: RefusalReason;
  readonly retryAfterMilliseconds: number;
  readonly attempts: number;
}

/** A request that ended with a target's complete answer. */
export interface AnswerOutcome {
  readonly kind: "answered" | "failed";
  readonly answer: TargetAnswer;
  readonly attempts: number;
  /** Whether this is the cached answer of an earlier request with the same idempotency key. */
  readonly replayed: boolean;
}

/** A request that may have run. */
export interface UnknownOutcome {
  readonly kind: "unknown";
  readonly reason: UnknownReason | EarlierRunReason;
  readonly attempts: number;
}

/** Outcome of a caller's request. */
export type Outcome = AnswerOutcome | RefusedOutcome | UnknownOutcome;

const internalServerErrorStatus = 500;

/**
 * Creates the outcome of a request that a target answered completely.
 * @param answer - the target's answer; a status of 500 or above makes the outcome `failed`
 * @param attempts - number of targets to which the request was sent
 * @param replayed - whether the answer is cached from an earlier request
 * @returns the outcome
 */
export function createAnswerOutcome(answer: TargetAnswer, attempts: number, replayed = false): AnswerOutcome {
  const kind = answer.status >= internalServerErrorStatus ? "failed" : "answered";
  return { kind, answer, attempts, replayed };
}
