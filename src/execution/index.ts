/**
 * Execution of callers' requests: attempts, retries and idempotency claims.
 * @packageDocumentation
 */
export type {
  AnswerOutcome,
  EarlierRunReason,
  Outcome,
  OutcomeKind,
  RefusalReason,
  RefusedOutcome,
  UnknownOutcome,
} from "./outcome.js";
export type { CallerRequest } from "./caller-request.js";
export { createExecutor, type Executor, type ExecutorParts } from "./executor.js";
export {
  claimsPrefix,
  createClaimOwner,
  createClaims,
  createRetentionLease,
  digestParts,
  type ClaimAnswer,
  type ClaimRequest,
  type ClaimMemoryOptions,
  type ClaimOwner,
  type ClaimOwnerOptions,
  type Claims,
  type ClaimSettlement,
  type ClaimsOptions,
  type RetentionLease,
} from "./claims/index.js";
