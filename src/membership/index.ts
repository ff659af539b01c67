/**
 * Cluster membership of the entries: member list, connections to peers, failure detection and leader roles.
 * @packageDocumentation
 */
export {
  definePeerCall,
  memberRecordSchema,
  parseMemberRecord,
  type PeerCall,
  type MemberRecord,
} from "./messages.js";
export type { PeerFailure, PeerFailureKind, PeerState } from "./peer-link.js";
export type { PeerAnswer } from "./peer-listener.js";
export type { PeerIdentity } from "./peer-links.js";
export { createPeerNetwork, type PeerNetwork, type PeerNetworkEvents } from "./peer-network.js";
export { createMemberList, leaseSecondsFor, memberListPrefix, type MemberList } from "./member-list.js";
export { choosePeers, isChosenInZone, maximumPeerLinks, type SelectableEntry } from "./selection.js";
export { createLeaderRole, type LeaderRole, type LeaderRoleOptions } from "./leader-role.js";
export { followSeeds, type SeedFollowing } from "./seeds.js";
