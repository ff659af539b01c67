/**
 * Exchanges with targets.
 * @packageDocumentation
 */
export {
  createTargetExchange,
  notStartedHeader,
  requestIdHeader,
  type ExchangeResult,
  type NotStartedReason,
  type TargetAnswer,
  type TargetExchange,
  type TargetExchangeOptions,
  type TargetRequest,
  type UnknownReason,
} from "./exchange.js";
