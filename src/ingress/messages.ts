/**
 * Headers and bodies exchanged between callers and an entry.
 * @packageDocumentation
 */
import type { EarlierRunReason, OutcomeKind, RefusalReason } from "../execution/index.js";
import type { UnknownReason } from "../forwarding/index.js";

/** Names of the headers that callers send. */
export const callerHeaders = {
  /** Milliseconds for which the caller waits. */
  timeout: "x-timeout-ms",
  team: "x-team",
  urgency: "x-urgency",
  idempotencyKey: "idempotency-key",
} as const;

/** Header of every answer with the request's outcome. */
export const outcomeHeader = "x-outcome";

/** Header of a cached answer of an earlier request with the same idempotency key. */
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

/** Body of every answer that the entry itself writes, as opposed to a target's answer. */
export interface OutcomeBody {
  readonly outcome: OutcomeKind | "rejected";
  readonly reason: RefusalReason | UnknownReason | EarlierRunReason | RejectionReason;
  /** True only if certainly no target ran the request; undefined if a target may have run it. */
  readonly notRun: boolean | undefined;
  readonly message: string;
  readonly requestId: string;
}
