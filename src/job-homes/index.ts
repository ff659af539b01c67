/**
 * Homes of pools: which entry schedules a pool, what it keeps, and how other entries reach it.
 * @packageDocumentation
 */
export { type Advice, type AdviceService } from "./advice-book.js";
export {
  entryPrefix,
  membersPrefix,
  openEntrySession,
  type EntrySession,
  type EntrySessionEvents,
  type EntrySessionOptions,
} from "./entry-session.js";
export { findLargeEntries, orderForHome, type HomeCandidate } from "./home-placement.js";
export type { HomeDirectory } from "./home-directory.js";
export { HomeKeeper, type HomeKeeperOptions } from "./home-keeper.js";
export { decodeHomeRecord, homePrefix, type HomeRecord } from "./home-record.js";
export { HomeGateway, type GatewayOutcome, type JobGateway, type JobGatewayOptions } from "./job-gateway.js";
export type { JobHome } from "./job-home.js";
export type { JobCaller } from "./job-owners.js";
export type { CancelOutcome, JobSubmission, StateOutcome, SubmitOutcome } from "./job-outcomes.js";
export type { PoolReport, TargetLoad } from "./pool-report.js";
export { dutyPrefix, SessionDuty, type SessionDutyOptions } from "./session-duty.js";
