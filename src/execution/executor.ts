/**
 * Runs a caller's request. For an operation that is not idempotent, it first claims the idempotency key, so that the
 * request runs at most once; then it sends the request to targets.
 * @packageDocumentation
 */
import type { TargetExchange } from "../forwarding/index.js";
import type { SlotAllocator } from "../routing/index.js";
import type { Metrics, Tracing } from "../telemetry/index.js";
import { createAttempts, digestJob } from "./attempts.js";
import type { CallerRequest } from "./caller-request.js";
import {
  digestParts,
  type ClaimAnswer,
  type ClaimRequest,
  type Claims,
  type ClaimSettlement,
} from "./claims/index.js";
import { createFailedJobs } from "./failed-jobs.js";
import { createAnswerOutcome, type Outcome, type RefusalReason } from "./outcome.js";

/** Runs callers' requests. */
export interface Executor {
  /**
   * Runs a request.
   * @param request - the request; nothing is sent after its deadline
   * @param signal - aborted when the caller cancels
   * @returns the outcome
   */
  run(request: CallerRequest, signal: AbortSignal): Promise<Outcome>;
}

/** Dependencies of {@link createExecutor}. */
export interface ExecutorParts {
  readonly allocator: SlotAllocator;
  readonly exchange: TargetExchange;
  readonly claims: Claims;
  readonly metrics: Metrics;
  readonly tracing: Tracing;
}

const retryAfterMilliseconds = 1_000;

/**
 * Creates an executor.
 * @param parts - dependencies
 * @returns the executor
 */
export function createExecutor(parts: ExecutorParts): Executor {
  const { claims, metrics, tracing } = parts;
  const failedJobs = createFailedJobs();
  const attempts = createAttempts({ ...parts, failedJobs });

  const runClaimed = async (
    request: CallerRequest,
    idempotencyKey: string,
    signal: AbortSignal,
  ): Promise<Outcome> => {
    const claimRequest = createClaimRequest(request, idempotencyKey, claims.entryId);
    const answer = await tracing.within("claim", request.trace, {}, async () =>
      claims.take(claimRequest, signal),
    );
    metrics.count("claims_total", { answer: answer.kind });
    if (answer.kind !== "granted") return createClaimOutcome(answer);
    const outcome = await attempts.run(request, signal);
    const settled = claims.settle(createSettlement(claimRequest, outcome));
    // Waits until the claim is released, so that the caller's retry is not rejected because of this claim.
    if (outcome.kind === "refused") await settled;
    return outcome;
  };

  return {
    run: async (request, signal) => {
      const { operation, idempotencyKey } = request;
      if (!operation.idempotent) {
        // Without a key a repeated request cannot be recognized, so the request runs without a claim.
        if (idempotencyKey === undefined) return attempts.run(request, signal);
        return runClaimed(request, idempotencyKey, signal);
      }
      const retryAfter = failedJobs.isEmpty() ? 0 : failedJobs.millisecondsUntilRetry(digestJob(request));
      if (retryAfter === 0) return attempts.run(request, signal);
      return { kind: "refused", reason: "job-fails", retryAfterMilliseconds: retryAfter, attempts: 0 };
    },
  };
}

function createClaimRequest(request: CallerRequest, idempotencyKey: string, entryId: string): ClaimRequest {
  const { service, operation, team, target, deadlineAt } = request;
  return {
    key: digestParts([service.name, operation.name, team, idempotencyKey]),
    claimId: target.requestId,
    fingerprint: digestParts([target.method, target.path, target.body]),
    entryId,
    deadlineAt,
  };
}

function createClaimOutcome(answer: Exclude<ClaimAnswer, { kind: "granted" }>): Outcome {
  switch (answer.kind) {
    case "finished": {
      const { status, headers, body } = answer.answer;
      return createAnswerOutcome({ status, headers, body: Buffer.from(body) }, 0, true);
    }
    case "already-running":
    case "already-run":
      return { kind: "unknown", reason: answer.kind, attempts: 0 };
    case "unknown":
      return { kind: "unknown", reason: "earlier-run-unknown", attempts: 0 };
    case "key-reused":
      return refuse("key-reused");
    case "unavailable":
      return refuse("claims-unavailable");
  }
}

function refuse(reason: RefusalReason): Outcome {
  return { kind: "refused", reason, retryAfterMilliseconds, attempts: 0 };
}

function createSettlement({ key, claimId }: ClaimRequest, outcome: Outcome): ClaimSettlement {
  switch (outcome.kind) {
    case "answered":
    case "failed":
      return { key, claimId, state: "finished", answer: outcome.answer };
    case "refused":
      return { key, claimId, state: "released" };
    case "unknown":
      return { key, claimId, state: "unknown" };
  }
}
