/**
 * Builds an entry that takes jobs from its parts; what speaks to the surroundings is handed in.
 * @packageDocumentation
 */
import type { Either } from "purify-ts";
import {
  OwnerGateway,
  OwnershipManager,
  leaderRolePrefix,
  entryPrefix,
  findLargeEntries,
  openEntrySession,
  SessionLeaderRole,
  type AdviceService,
  type EntrySession,
  type JobGateway,
  type PoolOwner,
} from "../pool-owners/index.js";
import {
  FleetManager,
  type FleetManagerOptions,
  type MachineControl,
  type MaintenanceWave,
} from "../fleet/index.js";
import type { QueueTable } from "../jobs/index.js";
import { createPeerNetwork, type PeerNetwork, type MemberRecord } from "../membership/index.js";
import { createRelayDirectory, RelayedTargetOrders, startOrderRelay } from "../order-relays/index.js";
import { delay } from "../shared/index.js";
import { type StoreRecord, type TransactionalStore } from "../store/index.js";
import type { RegisteredTarget, TargetOrders } from "../task-runs/index.js";
import type { Log, Metrics } from "../telemetry/index.js";
import { createMetricsService, createReadiness, probeLoad } from "./entry-services.js";
import {
  followConfiguration,
  followMembers,
  followRegistry,
  type FollowedConfiguration,
  type FollowedRegistry,
  type Members,
} from "./job-followers.js";
import { wireStorePaths } from "./store-paths.js";

/** Where a part listens. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Takes callers' requests about jobs. */
export interface JobIngress {
  listen(host: string, port: number): Promise<number>;
  /** Takes over the limits of a new configuration. */
  applyLimits(table: QueueTable): void;
  inProgress(): number;
  /** Lets the requests in progress end and stops listening. */
  close(): Promise<void>;
  abort(): void;
}

/** What an entry is built from. */
export interface JobEntryOptions {
  readonly entryId: string;
  readonly availabilityZone: string;
  readonly addresses: Readonly<Record<"requests" | "readiness" | "peers" | "metrics", ListenAddress>>;
  readonly store: TransactionalStore;
  readonly orders: TargetOrders;
  readonly advice: AdviceService | undefined;
  /** Prefix under which targets register, and how their records are read. */
  readonly registry: {
    readonly prefix: string;
    decode(records: Iterable<StoreRecord>): RegisteredTarget[];
  };
  /** Prefix of what the operators write, the key of their configuration, and how it is read. */
  readonly operators: {
    readonly prefix: string;
    readonly configurationKey: string;
    decode(value: unknown): Either<string, QueueTable>;
    decodeWaves(records: ReadonlyMap<string, StoreRecord>): MaintenanceWave[];
    readonly waveStatus: FleetManagerOptions["waveStatus"];
  };
  /** The machines behind the targets; undefined when nothing takes orders for them. */
  readonly machines: MachineControl | undefined;
  /** A new holder of the leader role on machines waits so long before its first order. */
  readonly orderLeaseMilliseconds: number;
  /** Orders for machines that the platform takes in a second from all entries together. */
  readonly machineOrdersPerSecond: number;
  createIngress(gateway: JobGateway, table: () => QueueTable | undefined): JobIngress;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly runLeaseMilliseconds: number;
  readonly retentionMilliseconds: number;
  /** A configuration must be in force so soon after it was accepted. */
  readonly configurationMilliseconds: number;
  /** How long a stop may take. */
  readonly graceMilliseconds: number;
  /** How much work this entry can do, in cores. */
  readonly capacityCores: number;
}

/** A running entry that takes jobs. */
export interface JobEntry {
  readonly gateway: JobGateway;
  readonly keeper: OwnershipManager;
  isReady(): boolean;
  /** Hands the owners over, finishes the requests in progress and stops. */
  stop(): Promise<void>;
  /** Stops at once and cuts everything, as a crash would. */
  kill(): Promise<void>;
}

/** Links are opened by calls: to owners, to relays and from relays. All others would only carry heartbeats. */
const standingLinks = 0;
const fleetLeaderRole = "fleet";
/** Entries of a fleet that starts as a whole join within this time. */
const settleMilliseconds = 700;
const vacateTimeoutMilliseconds = 700;
const entryLeaseMilliseconds = 3_000;
/** Part of the grace that is left for the last answers and the end of the process. */
const stopReserveMilliseconds = 1_500;
/** Callers' connections come to an entry for so long after it stopped being ready. */
const leaveMilliseconds = 2_500;

/**
 * Starts an entry.
 * @param given - what it is built from
 * @returns the running entry
 */
export async function startJobEntry(given: JobEntryOptions): Promise<JobEntry> {
  const { log, entryId, metrics, addresses } = given;
  const incarnation = Date.now();
  const zone = given.availabilityZone;
  const peers = createPeerNetwork({ entryId, incarnation, zone }, log, standingLinks);
  await peers.listen(addresses.peers.host, addresses.peers.port);
  const loopDelay = probeLoad(log, metrics, peers);
  const peerAddress = `${addresses.peers.host}:${addresses.peers.port}`;
  const { capacityCores } = given;
  const self: MemberRecord = { entryId, incarnation, peerAddress, zone, capacityCores };

  const store = wireStorePaths({
    ...given,
    peers,
    entries: () => members.directory.entries(),
    probeKey: `${entryPrefix}${entryId}`,
  });
  // From here on the store is that with a way through other entries.
  const options = { ...given, store };
  const members = followMembers(store, peers, log, () => {
    keeper.hurry();
    fleet?.hurry();
  });
  const configuration = followConfiguration(options, (table) => {
    ingress.applyLimits(table);
    keeper.hurry();
  });
  const session = openEntrySession({ store, self, log, leaseMilliseconds: entryLeaseMilliseconds });
  const orders = wireOrders(options, peers, members);
  const { registry, keeper } = wireOwners({ ...options, orders }, { session, members, configuration });
  const gateway = new OwnerGateway({ entryId, keeper, directory: members.directory, peers, store });
  const fleet = wireFleet(options, { session, members, configuration, gateway });
  const ingress = options.createIngress(gateway, configuration.usable);
  let isStopping = false;
  const isReady = (): boolean => !isStopping && configuration.usable() !== undefined;
  const readiness = createReadiness(isReady);
  const metricsService = createMetricsService(metrics);
  await ingress.listen(addresses.requests.host, addresses.requests.port);
  await readiness.listen(addresses.readiness.host, addresses.readiness.port);
  await metricsService.listen(addresses.metrics.host, addresses.metrics.port);
  log.write("info", "entry-started", { incarnation, peerAddress });

  const closeFollowers = (): void => {
    members.follower.close();
    configuration.follower.close();
    registry.follower.close();
  };
  const closeServices = async (): Promise<void> => {
    loopDelay.close();
    readiness.abort();
    metricsService.abort();
    await peers.close();
  };
  return {
    gateway,
    keeper,
    isReady,
    stop: async () => {
      isStopping = true;
      log.write("info", "entry-stopping", { requests: ingress.inProgress(), homes: keeper.owners().length });
      fleet?.close();
      await keeper.close();
      await session.close();
      const reserve = Math.max(0, options.graceMilliseconds - stopReserveMilliseconds);
      await delay(Math.min(leaveMilliseconds, reserve));
      await Promise.race([ingress.close(), delay(stopReserveMilliseconds / 2)]);
      closeFollowers();
      await closeServices();
      log.write("info", "entry-stopped");
    },
    kill: async () => {
      isStopping = true;
      fleet?.close();
      ingress.abort();
      closeFollowers();
      await closeServices();
    },
  };
}

interface OwnerParts {
  readonly session: EntrySession;
  readonly members: Members;
  readonly configuration: FollowedConfiguration;
}

interface FleetParts extends OwnerParts {
  readonly gateway: OwnerGateway;
}

/** Takes orders of other entries' owners, and sends those of this entry's owners through other entries. */
function wireOrders(options: JobEntryOptions, peers: PeerNetwork, members: Members): TargetOrders {
  const { entryId, orders, log, metrics } = options;
  startOrderRelay({ peers, orders, log, metrics });
  const relays = createRelayDirectory({ entryId, peers, entries: members.relayCandidates });
  return new RelayedTargetOrders({ peers, local: orders, relays, log, metrics });
}

/** The owners of this entry, and the registry of the targets that they use. */
function wireOwners(
  options: JobEntryOptions,
  { session, members, configuration }: OwnerParts,
): { readonly registry: FollowedRegistry; readonly keeper: OwnershipManager } {
  const heldPools = (): PoolOwner[] => keeper.owners();
  const registry = followRegistry(options, heldPools, () => {
    keeper.followTargets();
  });
  const keeper = new OwnershipManager({
    ...options,
    session,
    directory: members.directory,
    pools: () => configuration.current()?.pools.map(({ pool }) => pool) ?? [],
    workspaces: () => configuration.current()?.workspaces,
    listedTargets: registry.listedTargets,
    onTaken: () => {
      registry.follower.hurry();
    },
    settleMilliseconds,
  });
  void keeper.run();
  return { registry, keeper };
}

/** The leader role on machines, where the platform takes orders for them. */
function wireFleet(options: JobEntryOptions, parts: FleetParts): FleetManager | undefined {
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
