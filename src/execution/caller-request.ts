/**
 * A caller's request as the executor takes it.
 * @packageDocumentation
 */
import type { Context } from "@opentelemetry/api";
import type { OperationConfiguration, ServiceConfiguration } from "../configuration/index.js";
import type { TargetRequest } from "../forwarding/index.js";
import type { Urgency } from "../routing/index.js";

/** A caller's request with what the configuration says of it. */
export interface CallerRequest {
  readonly service: ServiceConfiguration;
  readonly operation: OperationConfiguration;
  readonly team: string;
  readonly urgency: Urgency;
  /** When the caller gives up, in milliseconds since the epoch. */
  readonly deadlineAt: number;
  /** The caller's name for a request that may not run twice. */
  readonly idempotencyKey: string | undefined;
  readonly target: TargetRequest;
  readonly trace: Context;
}
