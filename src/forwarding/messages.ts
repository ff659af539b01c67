/**
 * Requests to targets, their answers, and the results of exchanges.
 * @packageDocumentation
 */

/** A caller's request in the form that is sent to a target. */
export interface TargetRequest {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

/** A complete HTTP answer of a target. */
export interface TargetAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer;
}

/** Why the request certainly did not run. `not-sent` means that no byte of the request was written. */
export type NotStartedReason = "not-connected" | "not-sent" | "refused-by-target";

/** Why it is unknown whether the request ran. */
export type UnknownReason = "cut" | "timeout" | "cancelled" | "mismatched" | "oversized";

/** Result of an exchange. When it is `unknown`, the connection has been destroyed. */
export type ExchangeResult =
  | { readonly kind: "answered"; readonly answer: TargetAnswer }
  | { readonly kind: "not-started"; readonly reason: NotStartedReason }
  | { readonly kind: "unknown"; readonly reason: UnknownReason };

/** Header by which a target reports that it refused a request without starting it. */
export const notStartedHeader = "x-not-started";
/** Header with the request's identifier; a target returns it in its answer. */
export const requestIdHeader = "x-request-id";
