/**
 * Builds an entry that accepts jobs from its components. Adapters to external systems are passed in.
 * @packageDocumentation
 */
import type { Either } from "purify-ts";
import {
  OwnerGateway,
  OwnershipManager,
  entryPrefix,
  openEntrySession,
  AdviceRequests,
  type AdviceService,
  type EntrySession,
  type JobGateway,
  type PoolOwner,
} from "../pool-owners/index.js";
import type { FleetManagerOptions, MachineControl, MaintenanceWave } from "../fleet/index.js";
import type { QueueTable } from "../jobs/index.js";
import { createPeerNetwork, type PeerNetwork, type MemberRecord } from "../membership/index.js";
import { createRelayDirectory, RelayedTargetOrders, startOrderRelay } from "../order-relays/index.js";
import { delay } from "../shared/index.js";
import { type StoreRecord, type TransactionalStore } from "../store/index.js";
import type { RegisteredTarget, TargetOrders } from "../task-runs/index.js";
import type { Log, Metrics } from "../telemetry/index.js";
import { createMetricsService, createReadinessService, startLoadProbe } from "./entry-services.js";
import {
  followConfiguration,
  followMembers,
  followRegistry,
  type FollowedRegistry,
  type Members,
} from "./job-followers.js";
import { wireFleet, type OwnerParts } from "./job-fleet.js";
import { wireStorePaths } from "./store-paths.js";

/** Address that a service listens on. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Service for callers' requests about jobs. */
export interface JobIngress {
  /** Starts to listen; resolves to the port in use. */
  listen(host: string, port: number): Promise<number>;
  /** Applies the limits of a new configuration. */
  applyLimits(table: QueueTable): void;
  /** Number of requests in progress. */
  inProgress(): number;
  /** Stops listening and waits until the requests in progress have ended. */
  close(): Promise<void>;
  /** Stops listening and aborts the requests in progress. */
  abort(): void;
}

/** Settings and adapters of an entry. */
export interface JobEntryOptions {
  readonly entryId: string;
  readonly availabilityZone: string;
  readonly addresses: Readonly<Record<"requests" | "readiness" | "peers" | "metrics", ListenAddress>>;
  readonly store: TransactionalStore;
  readonly orders: TargetOrders;
  readonly advice: AdviceService | undefined;
  /** Key prefix under which targets register, and the decoder of their records. */
  readonly registry: {
    readonly prefix: string;
    decode(records: Iterable<StoreRecord>): RegisteredTarget[];
  };
  /** Key prefix of the operators' records, the key of their configuration, and the decoders of both. */
  readonly operators: {
    readonly prefix: string;
    readonly configurationKey: string;
    decode(value: unknown): Either<string, QueueTable>;
    decodeWaves(records: ReadonlyMap<string, StoreRecord>): MaintenanceWave[];
    readonly waveStatus: FleetManagerOptions["waveStatus"];
  };
  /** Control of the machines that run the targets; undefined if no platform accepts orders for them. */
  readonly machines: MachineControl | undefined;
  /** Time that a new holder of the fleet leader role waits before its first order to a machine. */
  readonly orderLeaseMilliseconds: number;
  /** Rate limit of the platform: orders for machines per second, from all entries together. */
  readonly machineOrdersPerSecond: number;
  createIngress(gateway: JobGateway, table: () => QueueTable | undefined): JobIngress;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly runLeaseMilliseconds: number;
  /** The longest lease that a target grants, whatever is requested. */
  readonly longestRunLeaseMilliseconds: number;
  readonly retentionMilliseconds: number;
  /** Time limit from the acceptance of a configuration until every entry applies it. */
  readonly configurationMilliseconds: number;
  /** Time limit of a graceful stop. */
  readonly graceMilliseconds: number;
  /** Capacity of this entry, in cores. */
  readonly capacityCores: number;
}

/** A running entry that accepts jobs. */
export interface JobEntry {
  readonly gateway: JobGateway;
  readonly ownershipManager: OwnershipManager;
  isReady(): boolean;
  /** Hands over the pools that this entry owns, finishes the requests in progress and stops. */
  stop(): Promise<void>;
  /** Stops immediately without handing over, to simulate a crash. */
  kill(): Promise<void>;
}

/** No link is kept open without calls: calls to owners and to or from relays open theirs, others would carry only heartbeats. */
const permanentLinks = 0;
/** When all entries start at the same time, they have joined within this time; a new entry takes no pool earlier. */
const settleMilliseconds = 700;
const entryLeaseMilliseconds = 3_000;
/** Part of the grace period that is reserved for the last responses and the exit of the process. */
const stopReserveMilliseconds = 1_500;
/** The load balancer may still send connections for this long after the entry has stopped being ready. */
const leaveMilliseconds = 2_500;

/**
 * Starts an entry that accepts jobs.
 * @param base - settings and adapters; the store is the direct one, without relays
 * @returns the entry, once all its services listen; it is ready when it has received a configuration
 */
export async function startJobEntry(base: JobEntryOptions): Promise<JobEntry> {
  const { log, entryId, metrics, addresses } = base;
  const incarnation = Date.now();
  const zone = base.availabilityZone;
  const peers = createPeerNetwork({ entryId, incarnation, zone }, log, permanentLinks);
  await peers.listen(addresses.peers.host, addresses.peers.port);
  const loopDelay = startLoadProbe(log, metrics, peers);
  const self = describeSelf(base, incarnation);

  const store = wireStorePaths({
    ...base,
    peers,
    entries: () => members.directory.entries(),
    probeKey: `${entryPrefix}${entryId}`,
  });
  // All components below use the store that can also relay calls through other entries.
  const options = { ...base, store };
  const members = followMembers(store, peers, log, () => {
    ownershipManager.hurry();
    fleet?.checkLeaderRole();
  });
  const configuration = followConfiguration(options, (table) => {
    ingress.applyLimits(table);
    ownershipManager.hurry();
  });
  const session = wireSession(options, self, members);
  const orders = wireOrders(options, peers, members);
  const ownerParts = { session, members, configuration };
  const { registry, ownershipManager } = wireOwners({ ...options, orders }, self, ownerParts);
  const { directory } = members;
  const gateway = new OwnerGateway({ ...options, keeper: ownershipManager, directory, peers });
  const fleet = wireFleet(options, { ...ownerParts, gateway });
  const ingress = options.createIngress(gateway, configuration.usable);
  let isStopping = false;
  const isReady = (): boolean => !isStopping && configuration.usable() !== undefined;
  const readiness = createReadinessService(isReady);
  const metricsService = createMetricsService(metrics);
  await ingress.listen(addresses.requests.host, addresses.requests.port);
  await readiness.listen(addresses.readiness.host, addresses.readiness.port);
  await metricsService.listen(addresses.metrics.host, addresses.metrics.port);
  log.write("info", "entry-started", { incarnation, peerAddress: self.peerAddress });

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
    ownershipManager,
    isReady,
    stop: async () => {
      isStopping = true;
      const homes = ownershipManager.owners().length;
      log.write("info", "entry-stopping", { requests: ingress.inProgress(), homes });
      fleet?.close();
      await ownershipManager.close();
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

/** The member record of this entry. */
function describeSelf(options: JobEntryOptions, incarnation: number): MemberRecord {
  const { entryId, availabilityZone, addresses, capacityCores } = options;
  const peerAddress = `${addresses.peers.host}:${addresses.peers.port}`;
  return { entryId, incarnation, peerAddress, zone: availabilityZone, capacityCores };
}

/** Opens this entry's lease; its member record is looked for in the copy of the member list. */
function wireSession(options: JobEntryOptions, self: MemberRecord, { follower }: Members): EntrySession {
  const key = `${entryPrefix}${self.entryId}`;
  const listedRevision = (): number | undefined => follower.records().get(key)?.revision;
  return openEntrySession({ ...options, self, listedRevision, leaseMilliseconds: entryLeaseMilliseconds });
}

/** Relays orders to targets for other entries, and can send this entry's orders through other entries. */
function wireOrders(options: JobEntryOptions, peers: PeerNetwork, members: Members): TargetOrders {
  const { entryId, orders, log, metrics } = options;
  startOrderRelay({ peers, orders, log, metrics });
  const relays = createRelayDirectory({ entryId, peers, entries: members.relayCandidates });
  return new RelayedTargetOrders({ peers, local: orders, relays, log, metrics });
}

/** Starts the management of pool ownership and follows the registry of the targets. */
function wireOwners(
  options: JobEntryOptions,
  self: MemberRecord,
  { session, members, configuration }: OwnerParts,
): { readonly registry: FollowedRegistry; readonly ownershipManager: OwnershipManager } {
  const heldPools = (): PoolOwner[] => ownershipManager.owners();
  const registry = followRegistry(options, heldPools, () => {
    ownershipManager.followTargets();
  });
  const ownershipManager = new OwnershipManager({
    ...options,
    advice: options.advice === undefined ? undefined : new AdviceRequests(options.advice),
    self,
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
  void ownershipManager.run();
  return { registry, ownershipManager };
}
