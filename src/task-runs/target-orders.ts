/**
 * Orders of an owner to a target: to start, stop and throttle runs, and to renew their lease and list them.
 * @packageDocumentation
 */
import type { Either } from "purify-ts";
import type { Resources } from "../jobs/index.js";

/** One process of a target, as reported by the registry or by the target itself. */
export interface TargetIdentity {
  readonly targetId: string;
  /** `IP:port` at which the target accepts orders. */
  readonly address: string;
  /** Unix time of the process's start. Another value under the same identifier is a new process without any runs. */
  readonly startedAtUnix: number;
  /** The target's availability zone; empty when it is not known. */
  readonly availabilityZone: string;
}

/** A target as the registry lists it. */
export interface RegisteredTarget extends TargetIdentity {
  readonly pool: string;
  readonly state: "ready" | "draining";
  readonly capacity: Resources;
  /** The rack of the target's machine; undefined when the target reports none. */
  readonly rack: string | undefined;
  /** Labels that a job's steps may require. */
  readonly labels: readonly string[];
  /** Shortest time for which a draining target remains; undefined when the registry reports none. */
  readonly remainingMilliseconds: number | undefined;
}

/** How a run ended. */
export type RunEndKind =
  "succeeded" | "failed" | "stopped" | "lease-lapsed" | "gang-broken" | "gang-incomplete";

/** The end of a run, kept by the target until it is acknowledged. */
export interface RunEnd {
  /** Number of the end within this process of the target, from 1. */
  readonly sequence: number;
  readonly task: string;
  readonly run: number;
  readonly kind: RunEndKind;
  /** Checkpoint from which the next run can resume; empty when there is none. */
  readonly checkpoint: string;
}

/** A run that is present on a target. */
export interface PresentRun {
  readonly task: string;
  readonly run: number;
  readonly checkpoint: string;
  readonly percent: number;
  /** Tail latency in milliseconds of a long-running task; processor use of any other task. */
  readonly usage: number;
}

/** A report lists at most this many ends, the earliest ones; a report with as many ends may omit later ones. */
export const mostEndsListed = 500;

/** A target's answer to a renewal. */
export interface TargetReport {
  /** Start of the target's process that answered, as in {@link TargetIdentity}. */
  readonly startedAtUnix: number;
  /** The target's clock at the time of its answer. */
  readonly clockMilliseconds: number;
  readonly present: readonly PresentRun[];
  readonly ends: readonly RunEnd[];
}

/** Measured durations of an order. */
export interface OrderTiming {
  /** How long the order waited in the sender before it was written; absent when that was short or is not known. */
  readonly queueMilliseconds?: number | undefined;
}

/** Result of an order. */
export type OrderOutcome = OrderTiming & OrderResult;

/** Result of an order that was refused, or whose outcome is unknown. */
export type FailedOrder = Exclude<OrderOutcome, { kind: "done" }>;

type OrderResult =
  | { readonly kind: "done"; readonly clockMilliseconds: number }
  /** The target refused the order and has not carried out any of it. */
  | { readonly kind: "refused"; readonly reason: OrderRefusal }
  /** No complete answer arrived: the order may be carried out, even seconds later. */
  | { readonly kind: "unknown"; readonly message: string };

/** Why a target refused an order. */
export type OrderRefusal =
  /** The target has seen a higher fencing token. */
  | "fenced"
  /** The target has seen a higher fencing token of the same owner, in a later order. */
  | "overtaken"
  /** A run of the task with the same or a higher number has ended on the target. */
  | "old-run"
  /** The requested lease has already ended by the target's clock. */
  | "too-late"
  | "no-room"
  /** The target rejected the advice ticket. */
  | "ticket"
  /** The target considers itself unhealthy. */
  | "unhealthy"
  /** Another target, or a new process of the target, answers at the address. */
  | "other-instance"
  | "not-connected"
  | "malformed";

/** Fields of every order. */
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
  /** End of the lease by the target's clock, in milliseconds. */
  readonly leaseUntilMilliseconds: number;
  readonly checkpoint: string;
  readonly ticket: string | undefined;
}

/** An order to stop a run. */
export interface StopOrder extends OrderHeader {
  readonly task: string;
  readonly run: number;
}

/** An order to set the pace of a run. */
export interface PaceOrder extends OrderHeader {
  readonly task: string;
  readonly run: number;
  /** 0 to 100 percent of full speed. */
  readonly percent: number;
}

/** An order to renew the lease of all runs on a target and to list them. */
export interface RenewOrder extends OrderHeader {
  /** Ends up to this sequence have been stored; the target may discard them. */
  readonly acknowledgedSequence: number;
  /** End of the lease by the target's clock; undefined while the clock is not known. */
  readonly leaseUntilMilliseconds: number | undefined;
  /** How long the target may wait for an end before it answers. */
  readonly waitMilliseconds: number;
}

/** Sends orders to targets. Failures are results, not exceptions. */
export interface TargetOrders {
  start(order: StartOrder): Promise<OrderOutcome>;
  stop(order: StopOrder): Promise<OrderOutcome>;
  pace(order: PaceOrder): Promise<OrderOutcome>;
  renew(order: RenewOrder): Promise<Either<FailedOrder, TargetReport>>;
}
