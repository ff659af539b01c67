/**
 * Wires the fleet manager of an entry that accepts jobs.
 * @packageDocumentation
 */
import { FleetManager } from "../fleet/index.js";
import {
  findLargeEntries,
  leaderRolePrefix,
  SessionLeaderRole,
  type EntrySession,
  type OwnerGateway,
} from "../pool-owners/index.js";
import type { JobEntryOptions } from "./job-entry.js";
import type { FollowedConfiguration, Members } from "./job-followers.js";

/** Components that owners of pools and the fleet manager need. */
export interface OwnerParts {
  readonly session: EntrySession;
  readonly members: Members;
  readonly configuration: FollowedConfiguration;
}

/** Components that the fleet manager needs. */
interface FleetParts extends OwnerParts {
  readonly gateway: OwnerGateway;
}

const fleetLeaderRole = "fleet";
const vacateTimeoutMilliseconds = 700;

/**
 * Starts the fleet manager and its leader role.
 * @param options - settings and adapters of the entry
 * @param parts - the entry's lease, the followed records and the gateway to the owners
 * @returns the running manager; undefined if no platform accepts orders for machines
 */
export function wireFleet(options: JobEntryOptions, parts: FleetParts): FleetManager | undefined {
  const { machines, entryId, store, log, metrics, orderLeaseMilliseconds } = options;
  const { session, members, configuration, gateway } = parts;
  if (machines === undefined) return undefined;
  const leaderRole = new SessionLeaderRole({
    name: fleetLeaderRole,
    entryId,
    store,
    session,
    entries: () => findLargeEntries(members.directory.entries()),
    holder: () => members.follower.records().get(`${leaderRolePrefix}${fleetLeaderRole}`),
    log,
  });
  const fleet = new FleetManager({
    entryId,
    leaderRole,
    store,
    machines,
    waves: configuration.waves,
    pools: () => configuration.current()?.pools ?? [],
    vacate: async (pool, targetIds, arrivals) =>
      gateway.vacate(pool, targetIds, arrivals, vacateTimeoutMilliseconds),
    waveStatus: options.operators.waveStatus,
    orderLeaseMilliseconds,
    ordersPerSecond: options.machineOrdersPerSecond,
    log,
    metrics,
  });
  void fleet.run();
  return fleet;
}
