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
  createHttpService,
  hasSenderLeft,
  sendJson,
  readBody,
  type HttpService,
  type BodyFault,
} from "./http.js";
