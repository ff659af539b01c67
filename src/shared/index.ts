/**
 * General helpers that are independent of the other modules.
 * @packageDocumentation
 */
export { createRandom, type Random } from "./random.js";
export {
  hashText,
  rendezvousOrder,
  rendezvousOwner,
  weightedRendezvousOrder,
  type WeightedMember,
} from "./rendezvous.js";
export { delay, Pause, withTimeout } from "./timers.js";
export { formatPath, parseWith, type ParseFault } from "./parse.js";
export {
  ConnectionLedger,
  requestBytes,
  type CloseReason,
  type ConnectionLimits,
  type RequestVerdict,
} from "./connection-ledger.js";
export { limitConnections, type MachineLimits } from "./machine-limits.js";
export {
  createHttpService,
  defaultConnectionLimits,
  sendJson,
  type HttpService,
  type HttpServiceOptions,
} from "./http.js";
export type { RequestAccount } from "./request-account.js";
export { hasSenderLeft, limitDiscardedBody, readBody, type BodyFault } from "./request-body.js";
