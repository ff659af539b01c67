/**
 * Runs a caller's request: waits for a slot, sends it to the target, sends it again where nothing ran.
 * @packageDocumentation
 */
import type { Context } from "@opentelemetry/api";
import type { OperationText, ServiceText } from "../configuration/index.js";
import type {
  ExchangeResult,
  TargetAnswer,
  TargetExchange,
  TargetRequest,
  UnknownReason,
} from "../forwarding/index.js";
import type { SlotAllocator, SlotAsk, SlotGrant, SlotUse, Urgency } from "../routing/index.js";
import type { Metrics, Tracing } from "../telemetry/index.js";
import type { Outcome } from "./outcome.js";

/** A caller's request with what the text says of it. */
export interface CallerRequest {
  readonly service: ServiceText;
  readonly operation: OperationText;
  readonly team: string;
  readonly urgency: Urgency;
  /** When the caller gives up, in milliseconds since the epoch. */
  readonly deadlineAt: number;
  readonly target: TargetRequest;
  readonly trace: Context;
}

/** Runs callers' requests. */
export interface Executor {
  /**
   * Runs a request.
   * @param request - the request
   * @param signal - aborts when the caller cancelled
   * @returns how it ended
   */
  run(request: CallerRequest, signal: AbortSignal): Promise<Outcome>;
}

/** What an executor works with. */
export interface ExecutorParts {
  readonly allocator: SlotAllocator;
  readonly exchange: TargetExchange;
  readonly metrics: Metrics;
  readonly tracing: Tracing;
}

const maximumAttempts = 3;
const retryAfterMilliseconds = 1_000;
const internalError = 500;

/**
 * Creates an executor.
 * @param parts - what it works with
 * @returns the executor
 */
export function createExecutor(parts: ExecutorParts): Executor {
  const { allocator, exchange, metrics, tracing } = parts;

  const sendOnce = async (
    request: CallerRequest,
    grant: SlotGrant,
    signal: AbortSignal,
  ): Promise<ExchangeResult> => {
    const attributes = { instance: grant.target.instanceId, zone: grant.target.zone };
    const startedAt = Date.now();
    const result = await tracing.within("target", request.trace, attributes, async (context) => {
      const headers = { ...request.target.headers, ...tracing.inject(context) };
      const timeout = request.deadlineAt - startedAt;
      return exchange.send(grant.target.address, { ...request.target, headers }, timeout, signal);
    });
    const runMilliseconds = Date.now() - startedAt;
    allocator.release(grant, { verdict: judgeTarget(result), runMilliseconds });
    metrics.observe("run_milliseconds", runMilliseconds, { service: request.service.name });
    return result;
  };

  const run = async (request: CallerRequest, signal: AbortSignal): Promise<Outcome> => {
    const excludedInstances: string[] = [];
    let unknown: UnknownReason | undefined;
    for (let attempts = 1; attempts <= maximumAttempts; attempts += 1) {
      const ask = createAsk(request, excludedInstances);
      const granted = await tracing.within("queue", request.trace, {}, async () =>
        allocator.acquire(ask, signal),
      );
      if (granted.isLeft()) {
        // Once an attempt may have run, a later refusal must not claim that nothing ran.
        if (unknown !== undefined) return { kind: "unknown", reason: unknown, attempts: attempts - 1 };
        return { kind: "refused", ...granted.swap().unsafeCoerce(), attempts };
      }
      const grant = granted.unsafeCoerce();
      excludedInstances.push(grant.target.instanceId);
      const result = await sendOnce(request, grant, signal);
      if (result.kind === "answered") return judgeAnswer(result.answer, attempts);
      if (result.kind === "not-started") continue;
      unknown = result.reason;
      if (!request.operation.idempotent || result.reason !== "cut") break;
    }
    if (unknown !== undefined)
      return { kind: "unknown", reason: unknown, attempts: excludedInstances.length };
    return {
      kind: "refused",
      reason: "targets-unreachable",
      retryAfterMilliseconds,
      attempts: maximumAttempts,
    };
  };

  return { run };
}

function createAsk(request: CallerRequest, excludedInstances: readonly string[]): SlotAsk {
  return {
    requestId: request.target.requestId,
    pool: request.service.pool,
    service: request.service.name,
    operation: request.operation.name,
    team: request.team,
    urgency: request.urgency,
    deadlineAt: request.deadlineAt,
    excludedInstances,
  };
}

function judgeAnswer(answer: TargetAnswer, attempts: number): Outcome {
  return { kind: answer.status >= internalError ? "failed" : "answered", answer, attempts };
}

function judgeTarget(result: ExchangeResult): SlotUse["verdict"] {
  if (result.kind === "answered") return result.answer.status >= internalError ? "target-fault" : "ok";
  if (result.kind === "unknown" && result.reason === "cancelled") return "neutral";
  return "target-fault";
}
