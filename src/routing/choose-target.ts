/**
 * Selection of a target for a request among the targets with free slots.
 * @packageDocumentation
 */
import type { Target } from "../pools/index.js";
import type { Random } from "../shared/index.js";
import type { OwnerSlotRequest } from "./owner-slot-request.js";

/** A target with free slots. */
export interface FreeTarget {
  readonly target: Target;
  /** Whether the target was ejected and is being probed, with one request at a time. */
  readonly isProbe: boolean;
  /** Number of free slots. */
  free: number;
}

/**
 * Chooses a target with the most free slots. Among equals it prefers the requesting entry's availability zone and then
 * chooses at random. A target that needs a probe comes first when the request may serve as one.
 * @param slotRequest - supplies the zone, urgency and exclusions
 * @param free - the targets with free slots
 * @param random - breaks ties
 * @returns the target, or undefined when the request excludes all of them
 */
export function chooseTarget(
  slotRequest: OwnerSlotRequest,
  free: readonly FreeTarget[],
  random: Random,
): FreeTarget | undefined {
  const usable = free.filter(({ target }) => isUsable(slotRequest, target));
  // A probed target has only 1 free slot, so by free slots alone it would be chosen only when all others are nearly full.
  const probe = usable.find(({ isProbe }) => isProbe);
  if (probe !== undefined && mayProbe(slotRequest)) return probe;
  const highestFree = usable.reduce((highest, each) => Math.max(highest, each.free), 0);
  const mostFree = usable.filter((each) => each.free === highestFree);
  const inSameZone = mostFree.filter(({ target }) => target.zone === slotRequest.zone);
  const candidates = inSameZone.length > 0 ? inSameZone : mostFree;
  if (candidates.length === 0) return undefined;
  return candidates[random.integer(0, candidates.length - 1)];
}

/**
 * Tells whether a request may use a target.
 * @param slotRequest - supplies the excluded instances
 * @param target - the candidate
 * @returns false when an earlier attempt of the request ran on the target
 */
export function isUsable(slotRequest: OwnerSlotRequest, target: Target): boolean {
  return !slotRequest.excludedInstances.includes(target.instanceId);
}

/** Only a first attempt that is not urgent may be used as a probe of an ejected target. */
function mayProbe(slotRequest: OwnerSlotRequest): boolean {
  return slotRequest.urgency === "normal" && slotRequest.excludedInstances.length === 0;
}
