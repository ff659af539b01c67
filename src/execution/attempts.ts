/**
 * Sends one request to targets, one after the other, as long as a further attempt is safe and of use.
 * @packageDocumentation
 */
import type { ExchangeResult, TargetAnswer, TargetExchange, UnknownReason } from "../forwarding/index.js";
import type { SlotAllocator, SlotRequest, SlotGrant, SlotRefusal, SlotUse } from "../routing/index.js";
import type { Metrics, Tracing } from "../telemetry/index.js";
import type { CallerRequest } from "./caller-request.js";
import { digestParts } from "./claims/index.js";
import type { FailedJobs } from "./failed-jobs.js";
import { judgeAnswer, type Outcome, type RefusalReason } from "./outcome.js";
import { createRetryBudget, type RetryBudget } from "./retry-budget.js";

/** Sends requests to targets. */
export interface Attempts {
  /**
   * Sends a request to at most a few targets, never twice to the same one.
   * @param request - the request
   * @param signal - aborts when the caller cancelled
   * @returns how it ended
   */
  run(request: CallerRequest, signal: AbortSignal): Promise<Outcome>;
}

/** What attempts work with. */
export interface AttemptsParts {
  readonly allocator: SlotAllocator;
  readonly exchange: TargetExchange;
  readonly metrics: Metrics;
  readonly tracing: Tracing;
  readonly failedJobs: FailedJobs;
}

/** What the attempts of one request came to so far. */
interface Progress {
  readonly excludedInstances: string[];
  failedAnswer: TargetAnswer | undefined;
  unknown: UnknownReason | undefined;
}

const maximumAttempts = 3;
const retryAfterMilliseconds = 1_000;
const internalError = 500;
/** A timeout speaks against a target only when the run was given this many times its expected time. */
const timeoutFactor = 4;

/**
 * Creates attempts.
 * @param parts - what they work with
 * @returns the attempts
 */
export function createAttempts(parts: AttemptsParts): Attempts {
  const { allocator, metrics, tracing } = parts;
  const budgets = new Map<string, RetryBudget>();

  const budgetOf = (service: string): RetryBudget => {
    const budget = budgets.get(service) ?? createRetryBudget();
    budgets.set(service, budget);
    return budget;
  };

  const run = async (request: CallerRequest, signal: AbortSignal): Promise<Outcome> => {
    const service = request.service.name;
    const budget = budgetOf(service);
    budget.earn();
    const progress: Progress = { excludedInstances: [], failedAnswer: undefined, unknown: undefined };
    const end = (refusal: SlotRefusal | RefusalReason): Outcome => conclude(progress, refusal);
    for (let attempt = 1; attempt <= maximumAttempts; attempt += 1) {
      if (attempt > 1 && !budget.take()) return end("retry-budget");
      if (attempt > 1) metrics.count("retries_total", { service });
      const slotRequest = createSlotRequest(request, progress.excludedInstances);
      const granted = await tracing.within("queue", request.trace, {}, async () =>
        allocator.acquire(slotRequest, signal),
      );
      if (granted.isLeft()) return end(granted.swap().unsafeCoerce());
      const grant = granted.unsafeCoerce();
      const stop = findStop(request, signal);
      if (stop !== undefined) {
        allocator.release(grant, { verdict: "neutral", runMilliseconds: 0 });
        return end(stop);
      }
      const result = await sendOnce(parts, request, grant, signal);
      progress.excludedInstances.push(grant.target.instanceId);
      if (result.kind === "answered" && result.answer.status < internalError) {
        return judgeAnswer(result.answer, progress.excludedInstances.length);
      }
      note(progress, result);
      const stopAfter = findStop(request, signal);
      if (stopAfter !== undefined) return end(stopAfter);
      if (!mayRetry(request, result)) break;
    }
    return end("targets-unreachable");
  };

  return { run };
}

async function sendOnce(
  parts: AttemptsParts,
  request: CallerRequest,
  grant: SlotGrant,
  signal: AbortSignal,
): Promise<ExchangeResult> {
  const { allocator, exchange, metrics, tracing } = parts;
  const attributes = { instance: grant.target.instanceId, zone: grant.target.zone };
  const startedAt = Date.now();
  const timeout = request.deadlineAt - startedAt;
  const result = await tracing.within("target", request.trace, attributes, async (context) => {
    const headers = { ...request.target.headers, ...tracing.inject(context) };
    return exchange.send(grant.target.address, { ...request.target, headers }, timeout, signal);
  });
  const runMilliseconds = Date.now() - startedAt;
  const verdict = judgeTarget(parts.failedJobs, request, grant, result, timeout);
  allocator.release(grant, { verdict, runMilliseconds });
  metrics.observe("run_milliseconds", runMilliseconds, { service: request.service.name });
  return result;
}

function judgeTarget(
  failedJobs: FailedJobs,
  request: CallerRequest,
  grant: SlotGrant,
  result: ExchangeResult,
  timeoutMilliseconds: number,
): SlotUse["verdict"] {
  const { instanceId } = grant.target;
  if (result.kind === "answered") {
    if (result.answer.status < internalError) {
      failedJobs.recordSuccess(instanceId);
      return "ok";
    }
    const isFault = failedJobs.recordFailure(digestJob(request), instanceId);
    return isFault ? "target-fault" : "neutral";
  }
  if (result.reason === "cancelled" || result.reason === "not-sent") return "neutral";
  const enough = timeoutFactor * request.operation.expectedMilliseconds;
  if (result.reason === "timeout" && timeoutMilliseconds < enough) return "neutral";
  return "target-fault";
}

/**
 * Digests what decides whether a job can run.
 * @param request - the request
 * @returns the digest
 */
export function digestJob(request: CallerRequest): string {
  const { service, operation, target } = request;
  return digestParts([service.name, operation.name, target.method, target.path, target.body]);
}

function findStop(request: CallerRequest, signal: AbortSignal): RefusalReason | undefined {
  if (signal.aborted) return "cancelled";
  return Date.now() >= request.deadlineAt ? "deadline-passed" : undefined;
}

function note(progress: Progress, result: ExchangeResult): void {
  if (result.kind === "answered") progress.failedAnswer = result.answer;
  if (result.kind === "unknown") progress.unknown = result.reason;
}

/** Tells whether another target may get the request: nothing ran on this one, or running twice does no harm. */
function mayRetry(request: CallerRequest, result: ExchangeResult): boolean {
  if (result.kind === "not-started") return true;
  if (!request.operation.idempotent) return false;
  return result.kind === "answered" || result.reason === "cut" || result.reason === "mismatched";
}

/** Ends a request without a good answer. What ran or may have run goes before any later refusal. */
function conclude(progress: Progress, refusal: SlotRefusal | RefusalReason): Outcome {
  const attempts = progress.excludedInstances.length;
  if (progress.failedAnswer !== undefined) return judgeAnswer(progress.failedAnswer, attempts);
  if (progress.unknown !== undefined) return { kind: "unknown", reason: progress.unknown, attempts };
  if (typeof refusal === "object") return { kind: "refused", ...refusal, attempts };
  return { kind: "refused", reason: refusal, retryAfterMilliseconds, attempts };
}

function createSlotRequest(request: CallerRequest, excludedInstances: readonly string[]): SlotRequest {
  return {
    requestId: request.target.requestId,
    pool: request.service.pool,
    service: request.service.name,
    operation: request.operation.name,
    team: request.team,
    urgency: request.urgency,
    deadlineAt: request.deadlineAt,
    excludedInstances: [...excludedInstances],
  };
}
