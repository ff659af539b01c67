/**
 * A caller's request in the form that the executor accepts.
 * @packageDocumentation
 */
import type { Context } from "@opentelemetry/api";
import type { OperationConfiguration, ServiceConfiguration } from "../configuration/index.js";
import type { TargetRequest } from "../forwarding/index.js";
import type { Urgency } from "../routing/index.js";

/** A caller's request with the configuration of its service and operation. */
export interface CallerRequest {
  readonly service: ServiceConfiguration;
  readonly operation: OperationConfiguration;
  readonly team: string;
  readonly urgency: Urgency;
  /** When the caller stops waiting, in milliseconds since the epoch. */
  readonly deadlineAt: number;
  /** Key that the caller chose so that a repeated request does not run twice; undefined when it sent none. */
  readonly idempotencyKey: string | undefined;
  readonly target: TargetRequest;
  readonly trace: Context;
}
