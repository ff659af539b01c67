/**
 * Runs of tasks on targets: orders, leases, reports, and the ends of runs.
 * @packageDocumentation
 */
export type {
  OrderHeader,
  OrderOutcome,
  OrderRefusal,
  OrderTiming,
  PresentRun,
  RegisteredTarget,
  RenewOrder,
  RunEnd,
  RunEndKind,
  StartOrder,
  TargetIdentity,
  TargetOrders,
  TargetReport,
} from "./target-orders.js";
export { mostEndsListed } from "./target-orders.js";
export {
  slowestClockRate,
  TargetSession,
  type SessionEndReason,
  type TargetSessionHandlers,
  type TargetSessionOptions,
} from "./target-session.js";
