/**
 * How a caller's request ended.
 * @packageDocumentation
 */
import type { TargetAnswer, UnknownReason } from "../forwarding/index.js";
import type { SlotRefusalReason } from "../routing/index.js";

/**
 * - `answered`: a target ran the request and gave a whole answer.
 * - `refused`: the request was not run; it may be sent again.
 * - `failed`: a target ran the request and said by its answer that the run failed.
 * - `unknown`: the request may have run.
 */
export type OutcomeKind = "answered" | "refused" | "failed" | "unknown";

/** Why a request was refused. */
export type RefusalReason = SlotRefusalReason | "not-ready" | "shutting-down" | "targets-unreachable";

/** How a caller's request ended. */
export type Outcome =
  | { readonly kind: "answered"; readonly answer: TargetAnswer; readonly attempts: number }
  | { readonly kind: "failed"; readonly answer: TargetAnswer; readonly attempts: number }
  | {
      readonly kind: "refused";
      readonly reason: RefusalReason;
      readonly retryAfterMilliseconds: number;
      readonly attempts: number;
    }
  | { readonly kind: "unknown"; readonly reason: UnknownReason; readonly attempts: number };
