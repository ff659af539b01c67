/**
 * Wires an entry's peers, its place in the member list, and the configuration that it keeps in force.
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
 * Creates the keeper of the configuration.
 * @param foundation - log and mirrors
 * @returns the keeper, without a configuration
 */
export function wireConfiguration({ log, mirrors }: Foundation): ConfigurationKeeper {
  const keeper = createConfigurationKeeper(log);
  followStore(keeper, mirrors.configuration);
  return keeper;
}

/** The other entries and this one among them. */
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
 * Starts the roll-out of configurations among the entries.
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
  const stopped = (): Set<string> => {
    const silent = peers.peers().filter(({ state }) => state === "gone" || state === "unreachable");
    return new Set(silent.map(({ peerId }) => peerId));
  };
  const expected = (): string[] => peers.peers().map(({ peerId }) => peerId);
  const report = createInForceReport(configuration, self.entryId, expected);
  startRollOut(configuration, peers, report);
  mirrors.configuration.watchWhile(() => {
    const silent = stopped();
    const living = memberList.entries().filter(({ entryId }) => !silent.has(entryId));
    if (living.every(({ entryId }) => entryId !== self.entryId)) return true;
    return isChosenInZone("configuration-watch", living, self, configurationWatchersPerZone);
  });
  return report;
}
