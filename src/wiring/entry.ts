/**
 * Builds an entry that serves requests from its components.
 * @packageDocumentation
 */
import type { ConfigurationKeeper, InForceReport } from "../configuration/index.js";
import type { PeerNetwork } from "../membership/index.js";
import type { EntryStatus } from "../operations/index.js";
import type { PlacementView } from "../pools/index.js";
import { OwnerAllocator } from "../routing/index.js";
import type { EntrySettings } from "../settings/index.js";
import { createLog, type Log, type Metrics } from "../telemetry/index.js";
import { wireCapacity, wireLeaderRoles } from "./leader-roles.js";
import { listenOn, wireFoundation } from "./foundation.js";
import { wireConfiguration, wireMembership, wireRollOut } from "./membership.js";
import { readStatus, wireOperators } from "./operators.js";
import { wireMaintenance, wirePlacement } from "./placement.js";
import { wireRequestPath, type CreateAllocator } from "./request-path.js";

/** A running entry. */
export interface Entry {
  readonly entryId: string;
  /** Addresses in use, as `IP:port`. */
  readonly addresses: { readonly requests: string; readonly peers: string; readonly operators: string };
  /** The configuration in force in this entry. */
  readonly configuration: ConfigurationKeeper;
  readonly placement: PlacementView;
  readonly peers: PeerNetwork;
  readonly rollOut: InForceReport;
  readonly metrics: Metrics;
  status(): EntryStatus;
  /** Finishes the requests in progress, leaves the member list and stops. */
  stop(): Promise<void>;
  /** Stops immediately and aborts all requests, to simulate a crash. */
  kill(): Promise<void>;
}

const createOwnerAllocator: CreateAllocator = (options) => new OwnerAllocator(options);

/**
 * Starts an entry.
 * @param settings - validated settings
 * @param log - receives events; standard error at the configured level by default
 * @param createAllocator - creates the slot allocator; an `OwnerAllocator` by default
 * @returns the entry, once all its services listen; it may not be ready yet
 */
export async function startEntry(
  settings: EntrySettings,
  log: Log = createLog(settings.logLevel),
  createAllocator: CreateAllocator = createOwnerAllocator,
): Promise<Entry> {
  const foundation = wireFoundation(settings, log);
  const configuration = wireConfiguration(foundation);
  const membership = await wireMembership(foundation);
  const rollOut = wireRollOut(foundation, configuration, membership);
  const placement = wirePlacement(foundation, membership);
  const maintenance = wireMaintenance(foundation, configuration, membership, placement);
  const requestPath = wireRequestPath(
    foundation,
    configuration,
    membership,
    placement,
    maintenance,
    createAllocator,
  );
  const control = [configuration, membership, placement, maintenance, requestPath] as const;
  const capacity = wireCapacity(foundation, ...control);
  const leaderRoles = [...wireLeaderRoles(foundation, ...control), capacity.leaderRole];
  const parts = {
    foundation,
    configuration,
    membership,
    rollOut,
    placement,
    maintenance,
    requestPath,
    capacity,
  };
  const operators = wireOperators(parts);
  const addresses = {
    requests: await listenOn(requestPath.ingress, settings.requests),
    peers: membership.self.peerAddress,
    operators: await listenOn(operators, settings.operators),
  };
  foundation.log.write("info", "entry-started", addresses);

  const closeParts = async (): Promise<void> => {
    requestPath.allocator.close();
    placement.close();
    operators.abort();
    await Promise.all([operators.close(), membership.peers.close(), requestPath.exchange.close()]);
    await foundation.close();
  };
  return {
    entryId: settings.entryId,
    addresses,
    configuration,
    placement: placement.view,
    peers: membership.peers,
    rollOut,
    metrics: foundation.metrics,
    status: () => readStatus(parts),
    stop: async () => {
      foundation.log.write("info", "entry-stopping", { requests: requestPath.ingress.inProgress() });
      await requestPath.ingress.close();
      await requestPath.claims.flush();
      await Promise.all(leaderRoles.map(async (leaderRole) => leaderRole.close()));
      await membership.memberList.leave();
      await closeParts();
      foundation.log.write("info", "entry-stopped");
    },
    kill: async () => {
      requestPath.ingress.abort();
      membership.memberList.abandon();
      for (const leaderRole of leaderRoles) leaderRole.abandon();
      await closeParts();
    },
  };
}
