/**
 * Wires an entry's peer links, its record in the member list, and the configuration that it has in force.
 * @packageDocumentation
 */
import {
  createConfigurationKeeper,
  createInForceReport,
  followStore,
  startRollOut,
  type ConfigurationKeeper,
  type InForceReport,
} from "../configuration/index.js";
import {
  createPeerNetwork,
  createMemberList,
  followSeeds,
  isChosenInZone,
  type PeerNetwork,
  type MemberList,
  type MemberRecord,
} from "../membership/index.js";
import { listenOn, type Foundation } from "./foundation.js";

const configurationWatchersPerZone = 2;

/**
 * Creates the holder of the configuration in force and lets it follow the store.
 * @param foundation - log and mirrors
 * @returns the holder; empty until the store or a peer delivers a configuration
 */
export function wireConfiguration({ log, mirrors }: Foundation): ConfigurationKeeper {
  const configurationKeeper = createConfigurationKeeper(log);
  followStore(configurationKeeper, mirrors.configuration);
  return configurationKeeper;
}

/** The links to other entries, the member list, and this entry's record in it. */
export interface MembershipParts {
  readonly peers: PeerNetwork;
  readonly memberList: MemberList;
  readonly self: MemberRecord;
}

/**
 * Starts to listen for peers and registers this entry.
 * @param foundation - settings, store and mirrors
 * @returns the parts
 */
export async function wireMembership(foundation: Foundation): Promise<MembershipParts> {
  const { settings, log, store, mirrors } = foundation;
  const { entryId, availabilityZone: zone } = settings;
  const incarnation = Date.now();
  const peers = createPeerNetwork({ entryId, incarnation, zone }, log);
  const self = { entryId, incarnation, peerAddress: await listenOn(peers, settings.peers), zone };
  const memberList = createMemberList(store, mirrors.memberList, self, log);
  const followMemberList = (): void => {
    peers.follow(memberList.entries());
  };
  mirrors.memberList.events.on("changed", followMemberList);
  mirrors.memberList.events.on("deleted", followMemberList);
  const seeding = {
    addresses: settings.seedPeers,
    peers,
    isStoreKnown: () => mirrors.memberList.confirmedAt() > 0,
    learn: (records: readonly MemberRecord[]) => {
      memberList.learn(records);
      followMemberList();
    },
  };
  void followSeeds(seeding, foundation.stop.signal);
  return { peers, memberList, self };
}

/**
 * Starts the exchange of configurations between entries. Only a few entries per zone watch the store for new ones.
 * @param foundation - the mirrors
 * @param configuration - the configuration in force here
 * @param membership - the other entries
 * @returns the report of which entry has which revision in force
 */
export function wireRollOut(
  { mirrors }: Foundation,
  configuration: ConfigurationKeeper,
  { peers, memberList, self }: MembershipParts,
): InForceReport {
  const findSilentEntries = (): Set<string> => {
    const silent = peers.peers().filter(({ state }) => state === "gone" || state === "unreachable");
    return new Set(silent.map(({ peerId }) => peerId));
  };
  const listPeerIds = (): string[] => peers.peers().map(({ peerId }) => peerId);
  const report = createInForceReport(configuration, self.entryId, listPeerIds);
  startRollOut(configuration, peers, report);
  mirrors.configuration.watchWhile(() => {
    const silent = findSilentEntries();
    const liveEntries = memberList.entries().filter(({ entryId }) => !silent.has(entryId));
    if (liveEntries.every(({ entryId }) => entryId !== self.entryId)) return true;
    return isChosenInZone("configuration-watch", liveEntries, self, configurationWatchersPerZone);
  });
  return report;
}
