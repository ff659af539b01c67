/**
 * dogwoodhoist as a library: the parts that an embedder can use one by one, and the whole entry.
 * @packageDocumentation
 */
export * from "./admission/index.js";
export * from "./capacity/index.js";
export * from "./configuration/index.js";
export * from "./execution/index.js";
export * from "./forwarding/index.js";
export * from "./ingress/index.js";
export * from "./maintenance/index.js";
export * from "./membership/index.js";
export * from "./operations/index.js";
export * from "./store/index.js";
export * from "./pools/index.js";
export * from "./routing/index.js";
export * from "./settings/index.js";
export * from "./telemetry/index.js";
export { startEntry, type Entry } from "./wiring/index.js";
// Earlier names of exports, kept for embedders.
export {
  OwnerAllocator as HomeAllocator,
  type OwnerAllocatorOptions as HomeAllocatorOptions,
} from "./routing/index.js";
export {
  checkConfiguration as checkText,
  createConfigurationJsonSchema as createTextJsonSchema,
  operatorConfigurationSchema as textSchema,
  warnAboutConfiguration as warnAboutText,
  type ConfigurationDifference as TextDifference,
  type OperationConfiguration as OperationText,
  type OperatorConfiguration as OperatorText,
  type PoolConfiguration as PoolText,
  type ServiceConfiguration as ServiceText,
  type TeamConfiguration as TeamText,
} from "./configuration/index.js";
export {
  createLeaderRole as createDuty,
  type LeaderRole as Duty,
  type LeaderRoleOptions as DutyOptions,
} from "./membership/index.js";
export {
  createMemberList as createRoster,
  memberListPrefix as rosterPrefix,
  parseMemberRecord as parseRosterRecord,
  type MemberList as Roster,
  type MemberRecord as RosterRecord,
} from "./membership/index.js";
export { type QueuedRequest as QueuedAsk } from "./admission/index.js";
export { type ClaimRequest as ClaimAsk } from "./execution/index.js";
export { type SlotRequest as SlotAsk } from "./routing/index.js";
export {
  createSurgeDetector as createTurnDetector,
  expectedSurge as expectedTurn,
  type SurgeDetector as TurnDetector,
  type SurgeShape as TurnShape,
} from "./capacity/index.js";
export { readJobTimeline as readJobStory, type TimelineLine as StoryLine } from "./telemetry/index.js";
