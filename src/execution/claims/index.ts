/**
 * At-most-once claims on idempotency keys.
 * @packageDocumentation
 */
export { createClaims, type Claims, type ClaimsOptions } from "./claims.js";
export { createClaimOwner, shardOfKey, type ClaimOwner, type ClaimOwnerOptions } from "./claim-owner.js";
export { createRetentionLease, type RetentionLease } from "./retention-lease.js";
export { claimsPrefix, digestParts } from "./claim-segment.js";
export type { ClaimMemoryOptions } from "./claim-memory.js";
export type { ClaimAnswer, ClaimRequest, ClaimSettlement, CachedAnswer } from "./claim-messages.js";
