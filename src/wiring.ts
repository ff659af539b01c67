/**
 * The one module that builds an entry from its parts.
 * @packageDocumentation
 */
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
import { HomeAllocator, type HomeAllocatorOptions, type SlotAllocator } from "./routing/index.js";
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
const leaveMilliseconds = 300;
const defaultSlotsPerTarget = 8;
const defaultExpectedMilliseconds = 100;
const connectionsPerTarget = 7;

/** Creates the allocator of an entry; measurements put another in its place. */
export type CreateAllocator = (options: HomeAllocatorOptions) => SlotAllocator;

const createHomeAllocator: CreateAllocator = (options) => new HomeAllocator(options);

/**
 * Starts an entry.
 * @param settings - checked settings
 * @param log - takes events; standard error by default
 * @param createAllocator - creates the allocator of slots
 * @returns the running entry
 */
export async function startEntry(
  settings: EntrySettings,
  log: Log = createLog(settings.logLevel),
  createAllocator: CreateAllocator = createHomeAllocator,
): Promise<Entry> {
  const foundation = wireFoundation(settings, log);
  const configuration = wireConfiguration(foundation);
  const membership = await wireMembership(foundation);
  startRollOut(configuration, membership.peers);
  const placement = wirePlacement(foundation);
  const requestPath = wireRequestPath(
    foundation,
    configuration,
    membership.peers,
    placement.view,
    createAllocator,
  );
  const duties = wireDuties(foundation, configuration, membership, placement, requestPath.allocator);
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
  peers: PeerNetwork,
  view: PlacementView,
  createAllocator: CreateAllocator,
): RequestPathParts {
  const { settings, metrics, tracing } = foundation;
  const teamQuota = (name: string): number | undefined =>
    configuration.current()?.text.teams.find((team) => team.name === name)?.quota;
  const allocator = createAllocator({
    entryId: settings.entryId,
    zone: settings.availabilityZone,
    view,
    peers,
    random: createRandom(settings.seed),
    maximumQueued: settings.limits.queuedRequests,
    slotsPerTarget: (pool) => configuration.pool(pool)?.slotsPerInstance ?? defaultSlotsPerTarget,
    quota: (team) => teamQuota(team) ?? 1,
    declaredMilliseconds: (operationKey) => declaredMilliseconds(configuration, operationKey),
  });
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

function declaredMilliseconds(configuration: ConfigurationKeeper, operationKey: string): number {
  const [serviceName = "", operationName = ""] = operationKey.split("/");
  const service = configuration.service(serviceName);
  const operation = service === undefined ? undefined : configuration.operation(service, operationName);
  return operation?.expectedMilliseconds ?? defaultExpectedMilliseconds;
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
