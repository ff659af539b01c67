/**
 * An owner with a clock that the test moves, and a record of what it decided.
 * @packageDocumentation
 */
import { createRunTimes } from "../../admission/index.js";
import type { Target } from "../../pools/index.js";
import { createRandom } from "../../shared/index.js";
import type { OwnerSlotRequest } from "../owner-slot-request.js";
import { SlotGranter } from "../slot-granter.js";
import type { SlotRefusal } from "../slot-allocator.js";

/** An owner under test. */
export interface OwnerFixture {
  readonly granter: SlotGranter;
  readonly grants: { readonly ask: OwnerSlotRequest; readonly grantId: string; readonly target: Target }[];
  readonly refusals: { readonly ask: OwnerSlotRequest; readonly refusal: SlotRefusal }[];
  readonly clock: { now: number };
  /** Slots of each target that the owner must leave alone. */
  readonly withheld: Map<string, number>;
  readonly targets: Target[];
}

/**
 * Creates targets, four a rack, over two zones.
 * @param count - how many
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
 * Creates an active owner.
 * @param targetCount - targets of its pool
 * @param seed - seed of its random choices
 * @param declaredMilliseconds - declared run time of every operation
 * @returns the owner and what it decides
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
    onGrant: (slotRequest, grantId, target) => fixture.grants.push({ ask: slotRequest, grantId, target }),
    onRefusal: (slotRequest, refusal) => fixture.refusals.push({ ask: slotRequest, refusal }),
  });
  granter.activate();
  return { ...fixture, granter: granter };
}

/**
 * Creates a request.
 * @param fixture - the owner that it is meant for
 * @param askId - its identifier
 * @param changes - what differs from a normal ask with a deadline in 5 s
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
