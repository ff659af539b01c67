/**
 * What an owner asks of a target: to start, stop and slow runs, and to list them while it renews their lease.
 * @packageDocumentation
 */
import type { Either } from "purify-ts";
import type { Resources } from "../jobs/index.js";

/** One life of a target, as the registry or the target itself tells. */
export interface TargetIdentity {
  readonly targetId: string;
  /** `IP:port` where it takes orders. */
  readonly address: string;
  /** Unix time of its start: another value under the same identifier is another life that knows nothing. */
  readonly startedAtUnix: number;
  /** Where it is; empty when that is not known. */
  readonly availabilityZone: string;
}

/** A target as the registry lists it. */
export interface RegisteredTarget extends TargetIdentity {
  readonly pool: string;
  readonly state: "ready" | "draining";
  readonly capacity: Resources;
  /** The rack of its machine; undefined when it names none. */
  readonly rack: string | undefined;
  /** What steps may require. */
  readonly labels: readonly string[];
  /** The least time that a draining target stays. */
  readonly remainingMilliseconds: number | undefined;
}

/** How a run ended. */
export type RunEndKind =
  "succeeded" | "failed" | "stopped" | "lease-lapsed" | "gang-broken" | "gang-incomplete";

/** The end of a run, kept by the target until it is acknowledged. */
export interface RunEnd {
  /** Counts the ends of this life of the target, from 1. */
  readonly sequence: number;
  readonly task: string;
  readonly run: number;
  readonly kind: RunEndKind;
  /** Where a next run can go on; empty for none. */
  readonly checkpoint: string;
}

/** A run that is present on a target. */
export interface PresentRun {
  readonly task: string;
  readonly run: number;
  readonly checkpoint: string;
  readonly percent: number;
  /** A long-running task's tail latency in milliseconds, or another's processor use. */
  readonly usage: number;
}

/** A target lists at most so many ends at once, the earliest; a report of as many may leave later ones out. */
export const mostEndsListed = 500;

/** What a target answers to a renewal. */
export interface TargetReport {
  /** Which life answered. */
  readonly startedAtUnix: number;
  /** The target's clock when it answered. */
  readonly clockMilliseconds: number;
  readonly present: readonly PresentRun[];
  readonly ends: readonly RunEnd[];
}

/** What was measured of an order. */
export interface OrderTiming {
  /** How long it waited in its sender before it was written; left out when that was short or is not known. */
  readonly queueMilliseconds?: number | undefined;
}

/** What an order brought. */
export type OrderOutcome = OrderTiming & OrderResult;

type OrderResult =
  | { readonly kind: "done"; readonly clockMilliseconds: number }
  /** The target refused and has done nothing. */
  | { readonly kind: "refused"; readonly reason: OrderRefusal }
  /** No whole answer came: the order may be carried out, also seconds later. */
  | { readonly kind: "unknown"; readonly message: string };

/** Why a target refused an order. */
export type OrderRefusal =
  /** A higher fencing token was seen there. */
  | "fenced"
  /** A run that is as high has ended there. */
  | "old-run"
  /** The lease would have ended already. */
  | "too-late"
  | "no-room"
  /** The advice ticket does not hold. */
  | "ticket"
  /** The target does not feel well. */
  | "unhealthy"
  /** Another target, or another life, answers at the address. */
  | "other-instance"
  | "not-connected"
  | "malformed";

/** What every order carries. */
export interface OrderHeader {
  readonly target: TargetIdentity;
  readonly fencingToken: number;
  readonly timeoutMilliseconds: number;
}

/** An order to start a run. */
export interface StartOrder extends OrderHeader {
  readonly task: string;
  readonly run: number;
  readonly spec: string;
  /** End of the lease by the target's clock. */
  readonly leaseUntilMilliseconds: number;
  readonly checkpoint: string;
  readonly ticket: string | undefined;
}

/** Renews the lease of all runs on a target and lists them. */
export interface RenewOrder extends OrderHeader {
  /** Ends up to this one have been stored and may be forgotten. */
  readonly acknowledgedSequence: number;
  /** End of the lease by the target's clock; undefined while the clock is not known. */
  readonly leaseUntilMilliseconds: number | undefined;
  /** The target waits so long for an end before it answers. */
  readonly waitMilliseconds: number;
}

/** Sends orders to targets. */
export interface TargetOrders {
  start(order: StartOrder): Promise<OrderOutcome>;
  stop(order: OrderHeader & { readonly task: string; readonly run: number }): Promise<OrderOutcome>;
  pace(
    order: OrderHeader & { readonly task: string; readonly run: number; readonly percent: number },
  ): Promise<OrderOutcome>;
  renew(order: RenewOrder): Promise<Either<Exclude<OrderOutcome, { kind: "done" }>, TargetReport>>;
}
