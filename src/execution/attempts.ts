/**
 * Sends a request to one target after another, as long as another attempt is safe and can still succeed.
 * @packageDocumentation
 */
import type { ExchangeResult, TargetAnswer, TargetExchange, UnknownReason } from "../forwarding/index.js";
import type { SlotAllocator, SlotRequest, SlotGrant, SlotRefusal, SlotUse } from "../routing/index.js";
import type { Metrics, Tracing } from "../telemetry/index.js";
import type { CallerRequest } from "./caller-request.js";
import { digestParts } from "./claims/index.js";
import type { FailedJobs } from "./failed-jobs.js";
import { createAnswerOutcome, type Outcome, type RefusalReason } from "./outcome.js";
import { createRetryBudget, type RetryBudget } from "./retry-budget.js";

/** Sends requests to targets. */
export interface Attempts {
  /**
   * Sends a request to at most three targets, never twice to the same one.
   * @param request - the request; no attempt starts after its deadline
   * @param signal - aborted when the caller cancels
   * @returns the outcome; a run or possible run outranks a later refusal
   */
  run(request: CallerRequest, signal: AbortSignal): Promise<Outcome>;
}

/** Dependencies of {@link createAttempts}. */
export interface AttemptsParts {
  readonly allocator: SlotAllocator;
  readonly exchange: TargetExchange;
  readonly metrics: Metrics;
  readonly tracing: Tracing;
  readonly failedJobs: FailedJobs;
}

/** Results of the attempts of one request so far. */
interface AttemptProgress {
  readonly excludedInstances: string[];
  failedAnswer: TargetAnswer | undefined;
  unknown: UnknownReason | undefined;
}

const maximumAttempts = 3;
/** Retry delay of refusals that do not come from the allocator. */
const retryAfterMilliseconds = 1_000;
const internalServerErrorStatus = 500;
/** A timeout counts as a target fault only if the timeout was at least this multiple of the expected run time. */
const minimumTimeoutFactor = 4;

/**
 * Creates the component that sends requests; it keeps one retry budget for each service.
 * @param parts - dependencies
 * @returns the component
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
    budget.addFirstAttempt();
    const progress: AttemptProgress = { excludedInstances: [], failedAnswer: undefined, unknown: undefined };
    const end = (refusal: SlotRefusal | RefusalReason): Outcome => decideOutcome(progress, refusal);
    for (let attempt = 1; attempt <= maximumAttempts; attempt += 1) {
      if (attempt > 1 && !budget.takeToken()) return end("retry-budget");
      if (attempt > 1) metrics.count("retries_total", { service });
      const slotRequest = createSlotRequest(request, progress.excludedInstances);
      const granted = await tracing.within("queue", request.trace, {}, async () =>
        allocator.acquire(slotRequest, signal),
      );
      if (granted.isLeft()) return end(granted.swap().unsafeCoerce());
      const grant = granted.unsafeCoerce();
      const stopBeforeSend = findStopReason(request, signal);
      if (stopBeforeSend !== undefined) {
        allocator.release(grant, { verdict: "neutral", runMilliseconds: 0 });
        return end(stopBeforeSend);
      }
      const result = await sendOnce(parts, request, grant, signal);
      progress.excludedInstances.push(grant.target.instanceId);
      if (result.kind === "answered" && result.answer.status < internalServerErrorStatus) {
        return createAnswerOutcome(result.answer, progress.excludedInstances.length);
      }
      recordResult(progress, result);
      const stopAfter = findStopReason(request, signal);
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
  const verdict = chooseVerdict(parts.failedJobs, request, grant, result, timeout);
  allocator.release(grant, { verdict, runMilliseconds });
  metrics.observe("run_milliseconds", runMilliseconds, { service: request.service.name });
  return result;
}

function chooseVerdict(
  failedJobs: FailedJobs,
  request: CallerRequest,
  grant: SlotGrant,
  result: ExchangeResult,
  timeoutMilliseconds: number,
): SlotUse["verdict"] {
  const { instanceId } = grant.target;
  if (result.kind === "answered") {
    if (result.answer.status < internalServerErrorStatus) {
      failedJobs.recordSuccess(instanceId);
      return "ok";
    }
    const isFault = failedJobs.recordFailure(digestJob(request), instanceId);
    return isFault ? "target-fault" : "neutral";
  }
  if (result.reason === "cancelled" || result.reason === "not-sent") return "neutral";
  const minimumTimeout = minimumTimeoutFactor * request.operation.expectedMilliseconds;
  if (result.reason === "timeout" && timeoutMilliseconds < minimumTimeout) return "neutral";
  return "target-fault";
}

/**
 * Computes the digest under which failures of a job are counted: service, operation, method, path and body.
 * @param request - the request that carries the job
 * @returns the digest, equal for requests with the same content
 */
export function digestJob(request: CallerRequest): string {
  const { service, operation, target } = request;
  return digestParts([service.name, operation.name, target.method, target.path, target.body]);
}

function findStopReason(request: CallerRequest, signal: AbortSignal): RefusalReason | undefined {
  if (signal.aborted) return "cancelled";
  return Date.now() >= request.deadlineAt ? "deadline-passed" : undefined;
}

function recordResult(progress: AttemptProgress, result: ExchangeResult): void {
  if (result.kind === "answered") progress.failedAnswer = result.answer;
  if (result.kind === "unknown") progress.unknown = result.reason;
}

/** Returns whether the request may go to another target: nothing ran on this one, or the operation is idempotent. */
function mayRetry(request: CallerRequest, result: ExchangeResult): boolean {
  if (result.kind === "not-started") return true;
  if (!request.operation.idempotent) return false;
  return result.kind === "answered" || result.reason === "cut" || result.reason === "mismatched";
}

/**
 * Determines the outcome of a request without a successful answer. A run or possible run outranks any later refusal.
 */
function decideOutcome(progress: AttemptProgress, refusal: SlotRefusal | RefusalReason): Outcome {
  const attempts = progress.excludedInstances.length;
  if (progress.failedAnswer !== undefined) return createAnswerOutcome(progress.failedAnswer, attempts);
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
