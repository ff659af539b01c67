/**
 * A slot granter with a manual clock that records its decisions.
 * @packageDocumentation
 */
import { createRunTimes } from "../../admission/index.js";
import type { Target } from "../../pools/index.js";
import { createRandom } from "../../shared/index.js";
import type { OwnerSlotRequest } from "../owner-slot-request.js";
import { SlotGranter } from "../slot-granter.js";
import type { SlotRefusal } from "../slot-allocator.js";

/** A slot granter under test. */
export interface OwnerFixture {
  readonly granter: SlotGranter;
  readonly grants: {
    readonly slotRequest: OwnerSlotRequest;
    readonly grantId: string;
    readonly target: Target;
  }[];
  readonly refusals: { readonly slotRequest: OwnerSlotRequest; readonly refusal: SlotRefusal }[];
  readonly clock: { now: number };
  /** Number of slots by target that must not be granted. */
  readonly withheld: Map<string, number>;
  readonly targets: Target[];
}

/**
 * Creates targets, four in each rack, that alternate between two availability zones.
 * @param count - number of targets
 * @returns the targets
 */
export function createTargets(count: number): Target[] {
  return Array.from({ length: count }, (_, index) => ({
    instanceId: `target-${index + 1}`,
    address: "127.0.0.1:1",
    zone: `zone-${(index % 2) + 1}`,
    rack: `rack-${Math.floor(index / 4) + 1}`,
    pool: "quotes",
    state: "serving" as const,
    recentChanges: [],
    since: 0,
  }));
}

/**
 * Creates an active granter with 8 slots for each target and a quota of 0.25 for the team `small`.
 * @param targetCount - number of targets in the pool
 * @param seed - seed of the random choices
 * @param declaredMilliseconds - configured run time of every operation
 * @returns the granter and its decisions
 */
export function createOwnerFixture(targetCount: number, seed = 1, declaredMilliseconds = 100): OwnerFixture {
  const fixture: Omit<OwnerFixture, "granter"> = {
    grants: [],
    refusals: [],
    clock: { now: 1_000_000 },
    withheld: new Map(),
    targets: createTargets(targetCount),
  };
  const granter = new SlotGranter({
    random: createRandom(seed),
    runTimes: createRunTimes(() => declaredMilliseconds),
    maximumQueued: 10_000,
    grantPrefix: "test",
    targets: () => fixture.targets,
    slotsPerTarget: () => 8,
    quota: (team) => (team === "small" ? 0.25 : 1),
    withheldSlots: (instanceId) => fixture.withheld.get(instanceId) ?? 0,
    now: () => fixture.clock.now,
    onGrant: (slotRequest, grantId, target) => fixture.grants.push({ slotRequest, grantId, target }),
    onRefusal: (slotRequest, refusal) => fixture.refusals.push({ slotRequest, refusal }),
  });
  granter.activate();
  return { ...fixture, granter: granter };
}

/**
 * Creates a request with a deadline in 5 s and normal urgency.
 * @param fixture - supplies the current time
 * @param askId - identifier of the request
 * @param changes - fields that replace the defaults
 * @returns the request
 */
export function createSlotRequest(
  fixture: OwnerFixture,
  askId: string,
  changes: Partial<OwnerSlotRequest> = {},
): OwnerSlotRequest {
  const { now } = fixture.clock;
  return {
    askId,
    entryId: "entry-1",
    zone: "zone-1",
    team: "large",
    urgency: "normal",
    operationKey: "quotes/quote",
    arrivedAt: now,
    deadlineAt: now + 5_000,
    excludedInstances: [],
    ...changes,
  };
}
