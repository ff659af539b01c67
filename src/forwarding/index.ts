/**
 * Forwarding of requests to targets.
 * @packageDocumentation
 */
export {
  notStartedHeader,
  requestIdHeader,
  type ExchangeResult,
  type NotStartedReason,
  type TargetAnswer,
  type TargetRequest,
  type UnknownReason,
} from "./messages.js";
export { createTargetExchange, type TargetExchange, type TargetExchangeOptions } from "./exchange.js";
