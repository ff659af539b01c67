/**
 * HTTP interface of an entry for callers.
 * @packageDocumentation
 */
export { createIngress, type EndedRequest, type Ingress, type IngressParts } from "./ingress.js";
export { callerHeaders, outcomeHeader, type OutcomeBody, type RejectionReason } from "./messages.js";
export { parseRequest, type ParsedRequest, type Rejection } from "./parse-request.js";
export { writeOutcome, writeRejection } from "./write-outcome.js";
