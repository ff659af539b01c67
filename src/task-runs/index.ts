/**
 * Runs of tasks on targets: orders, leases, reports, and the ends of runs.
 * @packageDocumentation
 */
export { OwnerOrders, type FencedOrders } from "./fenced-orders.js";
export type {
  FailedOrder,
  OrderHeader,
  OrderOutcome,
  OrderRefusal,
  OrderTiming,
  PaceOrder,
  PresentRun,
  RegisteredTarget,
  RenewOrder,
  RunEnd,
  RunEndKind,
  StartOrder,
  StopOrder,
  TargetIdentity,
  TargetOrders,
  TargetReport,
} from "./target-orders.js";
export { mostEndsListed } from "./target-orders.js";
export { noFormerLease, slowestClockRate, type FormerLease, type LeaseBasis } from "./run-lease.js";
export {
  TargetSession,
  type FormerOrders,
  type SessionEndReason,
  type TargetSessionHandlers,
  type TargetSessionOptions,
} from "./target-session.js";
