/**
 * Ownership of pools: which entry schedules the jobs of a pool, the state that it keeps, and the calls by which other
 * entries reach it.
 * @packageDocumentation
 */
export { AdviceRequests } from "./advice-requests.js";
export type { Advice, AdviceService } from "./advice-service.js";
export { entryPrefix, membersPrefix } from "./member-registration.js";
export {
  openEntrySession,
  type EntrySession,
  type EntrySessionEvents,
  type EntrySessionOptions,
} from "./entry-session.js";
export { findLargeEntries, orderForOwnership, type OwnerCandidate } from "./owner-placement.js";
export type { OwnerDirectory } from "./owner-directory.js";
export { OwnershipManager, type OwnershipManagerOptions } from "./ownership-manager.js";
export { decodeOwnerRecord, ownerPrefix, type OwnerRecord } from "./owner-record.js";
export { OwnerGateway, type GatewayOutcome, type JobGateway, type JobGatewayOptions } from "./job-gateway.js";
export type { PoolOwner } from "./pool-owner.js";
export type { JobCaller } from "./job-access.js";
export type { CancelOutcome, JobSubmission, StateOutcome, SubmitOutcome } from "./job-outcomes.js";
export type { PoolReport, TargetLoad } from "./pool-report.js";
export { leaderRolePrefix, SessionLeaderRole, type SessionLeaderRoleOptions } from "./session-leader-role.js";
