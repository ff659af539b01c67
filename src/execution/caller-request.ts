/**
 * A caller's request as the executor takes it.
 * @packageDocumentation
 */
import type { Context } from "@opentelemetry/api";
import type { OperationText, ServiceText } from "../configuration/index.js";
import type { TargetRequest } from "../forwarding/index.js";
import type { Urgency } from "../routing/index.js";

/** A caller's request with what the text says of it. */
export interface CallerRequest {
  readonly service: ServiceText;
  readonly operation: OperationText;
  readonly team: string;
  readonly urgency: Urgency;
  /** When the caller gives up, in milliseconds since the epoch. */
  readonly deadlineAt: number;
  /** The caller's name for a request that may not run twice. */
  readonly idempotencyKey: string | undefined;
  readonly target: TargetRequest;
  readonly trace: Context;
}
