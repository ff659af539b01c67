/**
 * The one module that builds an entry from its parts.
 * @packageDocumentation
 */
import { randomUUID } from "node:crypto";
import {
  createCapacityManager,
  createDemandCounter,
  DemandCountingAllocator,
  type CapacityManager,
  type DemandCounter,
} from "./capacity/index.js";
import {
  createConfigurationKeeper,
  createInForceReport,
  currentConfigurationKey,
  followStore,
  startRollOut,
  type ConfigurationKeeper,
  type InForceReport,
  type OperatorText,
} from "./configuration/index.js";
import {
  createClaimOwner,
  createClaims,
  createExecutor,
  createRetentionLease,
  type Claims,
} from "./execution/index.js";
import { createTargetExchange, type TargetExchange } from "./forwarding/index.js";
import { createIngress, type Ingress } from "./ingress/index.js";
import {
  createDuty,
  createPeerNetwork,
  createRoster,
  followSeeds,
  isChosenInZone,
  rosterPrefix,
  type Duty,
  type PeerNetwork,
  type Roster,
  type RosterRecord,
} from "./membership/index.js";
import {
  createAvailabilityBudgets,
  createHttpInstanceControl,
  createMaintenanceGate,
  createWaveCommands,
  createWaveRunner,
  createWaveStore,
  type AvailabilityBudgets,
  type MaintenanceGate,
  type WaveCommands,
  type WaveRunner,
} from "./maintenance/index.js";
import { createOperatorService, type EntryStatus } from "./operations/index.js";
import {
  createInstanceList,
  createStoreMirror,
  EtcdStoreClient,
  GuardedStoreClient,
  type StoreClient,
  type StoreMirror,
} from "./platform/index.js";
import {
  createAdoption,
  createKnownEntries,
  createMover,
  createPlacementCommands,
  createPlacementView,
  createPlacementWriter,
  createViewConfidence,
  placementPrefix,
  startPlacementExchange,
  type KnownEntries,
  type PlacementCommands,
  type PlacementView,
  type PlacementWriter,
  type ViewConfidence,
} from "./pools/index.js";
import { IndependentAllocator, type SlotAllocator } from "./routing/index.js";
import type { EntrySettings } from "./settings/index.js";
import { createRandom, type HttpService } from "./shared/index.js";
import {
  createLog,
  createMetrics,
  createTracing,
  createSpanExporter,
  type Log,
  type Metrics,
  type Tracing,
} from "./telemetry/index.js";

/** A running entry. */
export interface Entry {
  readonly entryId: string;
  /** Addresses in use, as `IP:port`. */
  readonly addresses: { readonly requests: string; readonly peers: string; readonly operators: string };
  readonly configuration: ConfigurationKeeper;
  readonly placement: PlacementView;
  readonly peers: PeerNetwork;
  readonly rollOut: InForceReport;
  readonly metrics: Metrics;
  status(): EntryStatus;
  /** Finishes the requests in progress, leaves the roster and stops. */
  stop(): Promise<void>;
  /** Stops at once and cuts everything, as a crash would. */
  kill(): Promise<void>;
}

const mirrorRefreshMilliseconds = 5_000;
const mirrorRetryMilliseconds = 500;
const dutyPeriodMilliseconds = 200;
const configurationWatchersPerZone = 2;
const maintenancePeriodMilliseconds = 1_000;
const capacityPeriodMilliseconds = 1_000;
const leaveMilliseconds = 300;
const slotsPerTarget = 8;
const connectionsPerTarget = 7;
const claimShards = 16;
const claimCommitMilliseconds = 100;
const claimRetentionMilliseconds = 3_600_000;
const claimAnswerBytes = 16_777_216;
const claimLargestAnswerBytes = 262_144;
const rememberedClaims = 100_000;

/**
 * Starts an entry.
 * @param settings - checked settings
 * @param log - takes events; standard error by default
 * @returns the running entry
 */
export async function startEntry(
  settings: EntrySettings,
  log: Log = createLog(settings.logLevel),
): Promise<Entry> {
  const foundation = wireFoundation(settings, log);
  const configuration = wireConfiguration(foundation);
  const membership = await wireMembership(foundation);
  const rollOut = wireRollOut(foundation, configuration, membership);
  const placement = wirePlacement(foundation, membership);
  const maintenance = wireMaintenance(foundation, configuration, membership, placement);
  const demand = createDemandCounter();
  const requestPath = wireRequestPath(
    foundation,
    configuration,
    placement,
    membership.peers,
    maintenance.budgets,
    demand,
  );
  const capacity = wireCapacity(foundation, configuration, membership, placement, demand);
  const duties = [
    ...wireDuties(foundation, configuration, membership, placement, maintenance, requestPath.allocator),
    capacity.duty,
  ];
  const status = (): EntryStatus => readStatus(foundation, configuration, membership, placement, requestPath);
  const operators = wireOperators(foundation, configuration, placement, status);

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
    status,
    stop: async () => {
      foundation.log.write("info", "entry-stopping", { requests: requestPath.ingress.inProgress() });
      await requestPath.ingress.close();
      await requestPath.claims.flush();
      await Promise.all(duties.map(async (duty) => duty.close()));
      await membership.roster.leave();
      await closeParts();
      foundation.log.write("info", "entry-stopped");
    },
    kill: async () => {
      requestPath.ingress.abort();
      membership.roster.abandon();
      for (const duty of duties) duty.abandon();
      await closeParts();
    },
  };
}

interface Foundation {
  readonly settings: EntrySettings;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly tracing: Tracing;
  readonly store: StoreClient;
  readonly mirrors: Readonly<Record<"configuration" | "placement" | "roster", StoreMirror>>;
  /** Aborted when the entry closes. */
  readonly stop: AbortController;
  close(): Promise<void>;
}

function wireFoundation(settings: EntrySettings, log: Log): Foundation {
  const entryLog = log.with({ entry: settings.entryId });
  const tracing = createTracing(createSpanExporter(settings.traces, entryLog));
  const metrics = createMetrics();
  const client = new EtcdStoreClient(settings.store);
  const { callsPerSecond } = settings.store;
  const random = createRandom(settings.seed);
  const store = new GuardedStoreClient({ client, callsPerSecond, random, metrics });
  const mirror = (prefix: string): StoreMirror =>
    createStoreMirror({
      store,
      prefix,
      refreshMilliseconds: mirrorRefreshMilliseconds,
      retryMilliseconds: mirrorRetryMilliseconds,
    });
  const mirrors = {
    configuration: mirror(currentConfigurationKey),
    placement: mirror(placementPrefix),
    roster: mirror(rosterPrefix),
  };
  const stop = new AbortController();
  const close = async (): Promise<void> => {
    stop.abort();
    for (const each of Object.values(mirrors)) each.close();
    await Promise.all([client.close(), tracing.close()]);
  };
  return { settings, log: entryLog, metrics, tracing, store, mirrors, stop, close };
}

function wireConfiguration({ log, mirrors }: Foundation): ConfigurationKeeper {
  const keeper = createConfigurationKeeper(log);
  followStore(keeper, mirrors.configuration);
  return keeper;
}

interface MembershipParts {
  readonly peers: PeerNetwork;
  readonly roster: Roster;
  readonly self: RosterRecord;
}

async function wireMembership(foundation: Foundation): Promise<MembershipParts> {
  const { settings, log, store, mirrors } = foundation;
  const { entryId, availabilityZone: zone } = settings;
  const incarnation = Date.now();
  const peers = createPeerNetwork({ entryId, incarnation, zone }, log);
  const self = { entryId, incarnation, peerAddress: await listenOn(peers, settings.peers), zone };
  const roster = createRoster(store, mirrors.roster, self, log);
  const followRoster = (): void => {
    peers.follow(roster.entries());
  };
  mirrors.roster.events.on("changed", followRoster);
  mirrors.roster.events.on("deleted", followRoster);
  const seeding = {
    addresses: settings.seedPeers,
    peers,
    isStoreKnown: () => mirrors.roster.confirmedAt() > 0,
    learn: (records: readonly RosterRecord[]) => {
      roster.learn(records);
      followRoster();
    },
  };
  void followSeeds(seeding, foundation.stop.signal);
  return { peers, roster, self };
}

function wireRollOut(
  { mirrors }: Foundation,
  configuration: ConfigurationKeeper,
  { peers, roster, self }: MembershipParts,
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
    const living = roster.entries().filter(({ entryId }) => !silent.has(entryId));
    if (living.every(({ entryId }) => entryId !== self.entryId)) return true;
    return isChosenInZone("configuration-watch", living, self, configurationWatchersPerZone);
  });
  return report;
}

interface PlacementParts {
  readonly view: PlacementView;
  readonly writer: PlacementWriter;
  readonly commands: PlacementCommands;
  readonly entries: KnownEntries;
  readonly confidence: ViewConfidence;
  close(): void;
}

function wirePlacement(
  { store, mirrors }: Foundation,
  { peers, roster, self }: MembershipParts,
): PlacementParts {
  const { entryId } = self;
  const view = createPlacementView(mirrors.placement);
  const writer = createPlacementWriter(store, mirrors.placement);
  const listed = (): string[] => roster.entries().map((record) => record.entryId);
  const entries = createKnownEntries({ entryId, peers, listed, now: Date.now });
  const confirmedAt = (): number => mirrors.placement.confirmedAt();
  const confidence = createViewConfidence({ entryId, entries, peers, confirmedAt, now: Date.now });
  startPlacementExchange(peers, mirrors.placement);
  const stop = new AbortController();
  void confidence.run(stop.signal);
  const close = (): void => {
    stop.abort();
  };
  return { view, writer, commands: createPlacementCommands(view, writer), entries, confidence, close };
}

interface MaintenanceParts {
  readonly budgets: AvailabilityBudgets;
  readonly gate: MaintenanceGate;
  readonly commands: WaveCommands;
  readonly runner: WaveRunner;
}

function wireMaintenance(
  { settings, store, log }: Foundation,
  configuration: ConfigurationKeeper,
  { peers }: MembershipParts,
  { view, commands }: PlacementParts,
): MaintenanceParts {
  const text = (): OperatorText | undefined => configuration.current()?.text;
  const budgets = createAvailabilityBudgets({ peers, text, now: Date.now });
  const budgetLeft = (service: string): number | undefined => budgets.read(service)?.left;
  const gate = createMaintenanceGate({ view, text, budgetLeft });
  const waves = createWaveStore(store);
  const control = createHttpInstanceControl(settings.instanceList.address);
  const runner = createWaveRunner({ waves, view, commands, control, gate, log, now: Date.now });
  return { budgets, gate, commands: createWaveCommands(waves, view), runner };
}

interface RequestPathParts {
  readonly allocator: SlotAllocator;
  readonly exchange: TargetExchange;
  readonly claims: Claims;
  readonly ingress: Ingress;
  readonly isReady: () => boolean;
}

function wireRequestPath(
  foundation: Foundation,
  configuration: ConfigurationKeeper,
  { view, confidence }: PlacementParts,
  peers: PeerNetwork,
  budgets: AvailabilityBudgets,
  demand: DemandCounter,
): RequestPathParts {
  const { settings, metrics, tracing } = foundation;
  const random = createRandom(settings.seed);
  const granting = new IndependentAllocator({ view, random, slotsPerTarget });
  const allocator = new DemandCountingAllocator(granting, demand);
  const maximumAnswerBytes = settings.limits.answerBytes;
  const exchange = createTargetExchange({ connectionsPerTarget, maximumAnswerBytes });
  const claims = wireClaims(foundation, peers);
  const executor = createExecutor({
    allocator,
    exchange,
    claims,
    metrics,
    tracing,
  });
  const isReady = (): boolean =>
    configuration.revision() > 0 && view.all().length > 0 && confidence.isConfident();
  const ingress = createIngress({
    configuration,
    executor,
    metrics,
    tracing,
    maximumBodyBytes: settings.limits.bodyBytes,
    bodyMemoryBytes: settings.limits.bodyMemoryBytes,
    leaveMilliseconds,
    onOutcome: (ended) => {
      const { service, milliseconds } = ended;
      budgets.record(ended);
      metrics.observe("answer_milliseconds", milliseconds, { service });
    },
    isReady,
  });
  return { allocator, exchange, claims, ingress, isReady };
}

function wireClaims({ settings, store }: Foundation, peers: PeerNetwork): Claims {
  const { entryId } = settings;
  const owner = createClaimOwner({
    store,
    shards: claimShards,
    writerId: `${entryId}/${randomUUID()}`,
    lease: createRetentionLease(store, claimRetentionMilliseconds, Date.now),
    commitMilliseconds: claimCommitMilliseconds,
    retentionMilliseconds: claimRetentionMilliseconds,
    now: Date.now,
    memory: {
      answerBytes: claimAnswerBytes,
      largestAnswerBytes: claimLargestAnswerBytes,
      claims: rememberedClaims,
    },
    isUp: (peerId) => peerId === entryId || peers.upPeers().includes(peerId),
  });
  return createClaims({ entryId, peers, owner, shards: claimShards });
}

function wireDuties(
  foundation: Foundation,
  configuration: ConfigurationKeeper,
  { peers, self }: MembershipParts,
  { view, writer, entries }: PlacementParts,
  { budgets, runner }: MaintenanceParts,
  allocator: SlotAllocator,
): Duty[] {
  const { log, store, settings } = foundation;
  const { entryId } = self;
  const text = (): OperatorText | undefined => configuration.current()?.text;
  const mover = createMover({
    entryId,
    view,
    writer,
    peers,
    entries,
    log,
    text,
    now: Date.now,
    inProgress: (instanceId) => allocator.inProgress(instanceId),
  });
  const instanceList = createInstanceList(settings.instanceList.address);
  const adoption = createAdoption({ instanceList, view, writer, log, text, now: Date.now });
  const placementDuty = createDuty({
    store,
    name: "placement",
    entryId,
    log,
    periodMilliseconds: dutyPeriodMilliseconds,
    step: async () => {
      await adoption.step();
      await mover.step();
    },
  });
  const maintenanceDuty = createDuty({
    store,
    name: "maintenance",
    entryId,
    log,
    periodMilliseconds: maintenancePeriodMilliseconds,
    step: async () => {
      await budgets.refresh();
      await runner.step();
    },
  });
  return [placementDuty, maintenanceDuty];
}

interface CapacityParts {
  readonly manager: CapacityManager;
  readonly duty: Duty;
}

function wireCapacity(
  { log, store }: Foundation,
  configuration: ConfigurationKeeper,
  { peers, self }: MembershipParts,
  { view, commands }: PlacementParts,
  counter: DemandCounter,
): CapacityParts {
  const { entryId, incarnation } = self;
  const manager = createCapacityManager({
    entryId,
    incarnation,
    peers,
    view,
    commands,
    counter,
    log,
    startsMoves: false,
    text: () => configuration.current()?.text,
    isHolder: () => duty.isHeld(),
    drainPlanned: () => new Set(),
  });
  const duty = createDuty({
    store,
    name: "capacity",
    entryId,
    log,
    periodMilliseconds: capacityPeriodMilliseconds,
    step: async () => manager.step(),
  });
  return { manager, duty };
}

function wireOperators(
  { settings, store, metrics }: Foundation,
  configuration: ConfigurationKeeper,
  { commands }: PlacementParts,
  status: () => EntryStatus,
): HttpService {
  return createOperatorService({
    store,
    configuration,
    placement: commands,
    metrics,
    token: settings.operatorToken,
    status,
  });
}

function readStatus(
  { settings }: Foundation,
  configuration: ConfigurationKeeper,
  { peers }: MembershipParts,
  { view }: PlacementParts,
  { ingress, isReady }: RequestPathParts,
): EntryStatus {
  return {
    entryId: settings.entryId,
    zone: settings.availabilityZone,
    ready: isReady(),
    configuration: { revision: configuration.revision(), changeId: configuration.current()?.changeId },
    peers: peers.peers().map(({ peerId, state }) => ({
      peerId,
      state,
      configurationRevision: peers.reported(peerId, "configurationRevision"),
    })),
    instances: view.all(),
    requestsInProgress: ingress.inProgress(),
  };
}

interface Listening {
  listen(host: string, port: number): Promise<number>;
}

async function listenOn(part: Listening, { host, port }: EntrySettings["requests"]): Promise<string> {
  return `${host}:${await part.listen(host, port)}`;
}
