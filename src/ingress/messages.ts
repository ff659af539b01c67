/**
 * Headers and bodies between callers and an entry.
 * @packageDocumentation
 */
import type { EarlierRunReason, OutcomeKind, RefusalReason } from "../execution/index.js";
import type { UnknownReason } from "../forwarding/index.js";

/** Names of the headers that callers send. */
export const callerHeaders = {
  /** Milliseconds that the caller waits. */
  timeout: "x-timeout-ms",
  team: "x-team",
  urgency: "x-urgency",
  idempotencyKey: "idempotency-key",
} as const;

/** Header of every answer: how the request ended. */
export const outcomeHeader = "x-outcome";

/** Header of an answer that is held from an earlier request under the same idempotency key. */
export const replayedHeader = "idempotent-replayed";

/** Why a request was rejected before it was accepted. */
export type RejectionReason =
  | "unknown-service"
  | "unknown-operation"
  | "bad-timeout"
  | "bad-team"
  | "bad-urgency"
  | "bad-idempotency-key"
  | "body-too-large"
  | "body-too-slow"
  | "body-cut"
  | "header-too-large"
  | "malformed-request";

/** Body of every answer that does not come from a target. */
export interface OutcomeBody {
  readonly outcome: OutcomeKind | "rejected";
  readonly reason: RefusalReason | UnknownReason | EarlierRunReason | RejectionReason;
  /** True only when it is proved that no target ran the request; undefined when that is not known. */
  readonly notRun: boolean | undefined;
  readonly message: string;
  readonly requestId: string;
}
