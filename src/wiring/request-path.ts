/**
 * Wires the request path: ingress, claims, slots and targets.
 * @packageDocumentation
 */
import { randomUUID } from "node:crypto";
import { createDemandCounter, DemandCountingAllocator, type DemandCounter } from "../capacity/index.js";
import type { ConfigurationKeeper } from "../configuration/index.js";
import {
  createClaimOwner,
  createClaims,
  createExecutor,
  createRetentionLease,
  type Claims,
} from "../execution/index.js";
import { createTargetExchange, type TargetExchange } from "../forwarding/index.js";
import { createIngress, type Ingress } from "../ingress/index.js";
import type { PeerNetwork } from "../membership/index.js";
import type { PlacementView } from "../pools/index.js";
import { ConfirmedViewAllocator, type OwnerAllocatorOptions, type SlotAllocator } from "../routing/index.js";
import { createRandom } from "../shared/index.js";
import type { Foundation } from "./foundation.js";
import type { MembershipParts } from "./membership.js";
import type { MaintenanceParts, PlacementParts } from "./placement.js";

/** Time that the load balancer may need to notice that this entry is not ready. */
const leaveMilliseconds = 300;
const defaultSlotsPerTarget = 8;
const defaultExpectedMilliseconds = 100;
const connectionsPerTarget = 7;
const claimShards = 16;
const claimCommitMilliseconds = 100;
const claimRetentionMilliseconds = 3_600_000;
const claimAnswerBytes = 16_777_216;
const claimLargestAnswerBytes = 262_144;
const maximumCachedClaims = 100_000;

/** Components on the request path of this entry. */
export interface RequestPathParts {
  readonly allocator: SlotAllocator;
  readonly demand: DemandCounter;
  readonly exchange: TargetExchange;
  readonly claims: Claims;
  readonly ingress: Ingress;
  readonly isReady: () => boolean;
}

/** Creates the slot allocator of an entry; measurements substitute a different one. */
export type CreateAllocator = (options: OwnerAllocatorOptions) => SlotAllocator;

/**
 * Creates the request path from the caller to a target and back.
 * @param foundation - settings, metrics and traces
 * @param configuration - the configuration in force
 * @param membership - the other entries
 * @param placement - the instances
 * @param maintenance - receives the outcomes for the budgets
 * @param createAllocator - creates the slot allocator
 * @returns the components; the ingress does not listen yet
 */
export function wireRequestPath(
  foundation: Foundation,
  configuration: ConfigurationKeeper,
  { peers }: MembershipParts,
  { view, confidence }: PlacementParts,
  { budgets }: MaintenanceParts,
  createAllocator: CreateAllocator,
): RequestPathParts {
  const { settings, metrics, tracing } = foundation;
  const demand = createDemandCounter();
  const baseAllocator = createAllocator(createAllocatorOptions(foundation, configuration, peers, view));
  const confirmedViewAllocator = new ConfirmedViewAllocator(baseAllocator, () => confidence.isConfident());
  const allocator = new DemandCountingAllocator(confirmedViewAllocator, demand);
  const maximumAnswerBytes = settings.limits.answerBytes;
  const exchange = createTargetExchange({ connectionsPerTarget, maximumAnswerBytes });
  const claims = wireClaims(foundation, peers);
  const executor = createExecutor({ allocator, exchange, claims, metrics, tracing });
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
  return { allocator, demand, exchange, claims, ingress, isReady };
}

function createAllocatorOptions(
  { settings }: Foundation,
  configuration: ConfigurationKeeper,
  peers: PeerNetwork,
  view: PlacementView,
): OwnerAllocatorOptions {
  const findTeamQuota = (name: string): number | undefined =>
    configuration.current()?.text.teams.find((team) => team.name === name)?.quota;
  return {
    entryId: settings.entryId,
    zone: settings.availabilityZone,
    view,
    peers,
    random: createRandom(settings.seed),
    maximumQueued: settings.limits.queuedRequests,
    slotsPerTarget: (pool) => configuration.pool(pool)?.slotsPerInstance ?? defaultSlotsPerTarget,
    quota: (team) => findTeamQuota(team) ?? 1,
    declaredMilliseconds: (operationKey) => readExpectedMilliseconds(configuration, operationKey),
  };
}

function readExpectedMilliseconds(configuration: ConfigurationKeeper, operationKey: string): number {
  const [serviceName = "", operationName = ""] = operationKey.split("/");
  const service = configuration.service(serviceName);
  const operation = service === undefined ? undefined : configuration.operation(service, operationName);
  return operation?.expectedMilliseconds ?? defaultExpectedMilliseconds;
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
      claims: maximumCachedClaims,
    },
    isUp: (peerId) => peerId === entryId || peers.upPeers().includes(peerId),
  });
  return createClaims({ entryId, peers, owner, shards: claimShards });
}
