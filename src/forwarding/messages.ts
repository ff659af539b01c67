/**
 * What is sent to targets and how an exchange ends.
 * @packageDocumentation
 */

/** A caller's request as it goes to a target. */
export interface TargetRequest {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

/** A whole answer of a target. */
export interface TargetAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer;
}

/** Why it is proved that nothing ran. `not-sent` means that no byte of the request was written. */
export type NotStartedReason = "not-connected" | "not-sent" | "refused-by-target";

/** Why nothing is known of the run. */
export type UnknownReason = "cut" | "timeout" | "cancelled" | "mismatched" | "oversized";

/** How an exchange ended. When it ends as `unknown`, its connection is gone. */
export type ExchangeResult =
  | { readonly kind: "answered"; readonly answer: TargetAnswer }
  | { readonly kind: "not-started"; readonly reason: NotStartedReason }
  | { readonly kind: "unknown"; readonly reason: UnknownReason };

/** Header by which a target says that it refused a request before it started. */
export const notStartedHeader = "x-not-started";
/** Header that names the request; a target sends it back in its answer. */
export const requestIdHeader = "x-request-id";
