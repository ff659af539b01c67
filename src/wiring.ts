/**
 * The one module that builds an entry from its parts.
 * @packageDocumentation
 */
import {
  createCapacityManager,
  createDemandCounter,
  DemandCountingAllocator,
  type CapacityManager,
  type DemandCounter,
} from "./capacity/index.js";
import {
  configurationPrefix,
  createConfigurationKeeper,
  followStore,
  startRollOut,
  type ConfigurationKeeper,
  type OperatorText,
} from "./configuration/index.js";
import { createExecutor } from "./execution/index.js";
import { createTargetExchange, type TargetExchange } from "./forwarding/index.js";
import { createIngress, type Ingress } from "./ingress/index.js";
import {
  createDuty,
  createPeerNetwork,
  createRoster,
  rosterPrefix,
  type Duty,
  type PeerNetwork,
  type Roster,
  type RosterRecord,
} from "./membership/index.js";
import { createOperatorService, type EntryStatus } from "./operations/index.js";
import {
  createInstanceList,
  createStoreMirror,
  EtcdStoreClient,
  type StoreMirror,
} from "./platform/index.js";
import {
  adoptInstances,
  createMover,
  createPlacementCommands,
  createPlacementView,
  createPlacementWriter,
  placementPrefix,
  type PlacementCommands,
  type PlacementView,
  type PlacementWriter,
} from "./pools/index.js";
import { IndependentAllocator, type SlotAllocator } from "./routing/index.js";
import type { EntrySettings } from "./settings/index.js";
import { createRandom, type HttpService } from "./shared/index.js";
import {
  createLog,
  createMetrics,
  createTracing,
  LogSpanExporter,
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
const capacityPeriodMilliseconds = 1_000;
const leaveMilliseconds = 300;
const slotsPerTarget = 8;
const connectionsPerTarget = 7;

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
  startRollOut(configuration, membership.peers);
  const placement = wirePlacement(foundation);
  const demand = createDemandCounter();
  const requestPath = wireRequestPath(foundation, configuration, placement.view, demand);
  const capacity = wireCapacity(foundation, configuration, membership, placement, demand);
  const duties = [
    ...wireDuties(foundation, configuration, membership, placement, requestPath.allocator),
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
    metrics: foundation.metrics,
    status,
    stop: async () => {
      foundation.log.write("info", "entry-stopping", { requests: requestPath.ingress.inProgress() });
      await requestPath.ingress.close();
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
  readonly store: EtcdStoreClient;
  readonly mirrors: Readonly<Record<"configuration" | "placement" | "roster", StoreMirror>>;
  close(): Promise<void>;
}

function wireFoundation(settings: EntrySettings, log: Log): Foundation {
  const entryLog = log.with({ entry: settings.entryId });
  const tracing = createTracing(settings.traces === "log" ? new LogSpanExporter(entryLog) : undefined);
  const store = new EtcdStoreClient(settings.store);
  const mirror = (prefix: string): StoreMirror =>
    createStoreMirror({
      store,
      prefix,
      refreshMilliseconds: mirrorRefreshMilliseconds,
      retryMilliseconds: mirrorRetryMilliseconds,
    });
  const mirrors = {
    configuration: mirror(configurationPrefix),
    placement: mirror(placementPrefix),
    roster: mirror(rosterPrefix),
  };
  const close = async (): Promise<void> => {
    for (const each of Object.values(mirrors)) each.close();
    await Promise.all([store.close(), tracing.close()]);
  };
  return { settings, log: entryLog, metrics: createMetrics(), tracing, store, mirrors, close };
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
  return { peers, roster, self };
}

interface PlacementParts {
  readonly view: PlacementView;
  readonly writer: PlacementWriter;
  readonly commands: PlacementCommands;
}

function wirePlacement({ store, mirrors }: Foundation): PlacementParts {
  const view = createPlacementView(mirrors.placement);
  const writer = createPlacementWriter(store, mirrors.placement);
  return { view, writer, commands: createPlacementCommands(view, writer) };
}

interface RequestPathParts {
  readonly allocator: SlotAllocator;
  readonly exchange: TargetExchange;
  readonly ingress: Ingress;
  readonly isReady: () => boolean;
}

function wireRequestPath(
  foundation: Foundation,
  configuration: ConfigurationKeeper,
  view: PlacementView,
  demand: DemandCounter,
): RequestPathParts {
  const { settings, metrics, tracing } = foundation;
  const random = createRandom(settings.seed);
  const granting = new IndependentAllocator({ view, random, slotsPerTarget });
  const allocator = new DemandCountingAllocator(granting, demand);
  const maximumAnswerBytes = settings.limits.answerBytes;
  const exchange = createTargetExchange({ connectionsPerTarget, maximumAnswerBytes });
  const executor = createExecutor({ allocator, exchange, metrics, tracing });
  const isReady = (): boolean => configuration.revision() > 0 && view.all().length > 0;
  const ingress = createIngress({
    configuration,
    executor,
    metrics,
    tracing,
    maximumBodyBytes: settings.limits.bodyBytes,
    leaveMilliseconds,
    onOutcome: ({ service, milliseconds }) => {
      metrics.observe("answer_milliseconds", milliseconds, { service });
    },
    isReady,
  });
  return { allocator, exchange, ingress, isReady };
}

function wireDuties(
  foundation: Foundation,
  configuration: ConfigurationKeeper,
  { peers, roster, self }: MembershipParts,
  { view, writer }: PlacementParts,
  allocator: SlotAllocator,
): Duty[] {
  const { log, store, settings } = foundation;
  const { entryId } = self;
  const mover = createMover({
    entryId,
    view,
    writer,
    peers,
    log,
    roster: () => roster.entries().map((record) => record.entryId),
    inProgress: (instanceId) => allocator.inProgress(instanceId),
  });
  const instanceList = createInstanceList(settings.instanceList.address);
  const text = (): OperatorText | undefined => configuration.current()?.text;
  const placementDuty = createDuty({
    store,
    name: "placement",
    entryId,
    log,
    periodMilliseconds: dutyPeriodMilliseconds,
    step: async () => {
      await adoptInstances({ instanceList, view, writer, log, text });
      await mover.step();
    },
  });
  return [placementDuty];
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
