/**
 * Chooses the target for a request among those with free slots.
 * @packageDocumentation
 */
import type { Target } from "../pools/index.js";
import type { Random } from "../shared/index.js";
import type { OwnerSlotRequest } from "./owner-slot-request.js";

/** A target with free slots. */
export interface FreeTarget {
  readonly target: Target;
  /** Whether the target failed before and gets one request at a time. */
  readonly isProbe: boolean;
  free: number;
}

/**
 * Chooses the target with the most free slots, in the asking entry's zone when there is one, else at random.
 * @param ask - the request
 * @param free - the targets with free slots
 * @param random - decides between equal targets
 * @returns the target, undefined when the request may use none of them
 */
export function chooseTarget(
  slotRequest: OwnerSlotRequest,
  free: readonly FreeTarget[],
  random: Random,
): FreeTarget | undefined {
  const usable = free.filter(({ target }) => isUsable(slotRequest, target));
  // Without this a probe would wait until every healthy target is nearly full.
  const probe = usable.find(({ isProbe }) => isProbe);
  if (probe !== undefined && isFitForProbe(slotRequest)) return probe;
  const most = usable.reduce((highest, each) => Math.max(highest, each.free), 0);
  const freest = usable.filter((each) => each.free === most);
  const near = freest.filter(({ target }) => target.zone === slotRequest.zone);
  const candidates = near.length > 0 ? near : freest;
  if (candidates.length === 0) return undefined;
  return candidates[random.integer(0, candidates.length - 1)];
}

/**
 * Tells whether a request may use a target.
 * @param ask - the request
 * @param target - the target
 * @returns false for a target that the request was on already
 */
export function isUsable(slotRequest: OwnerSlotRequest, target: Target): boolean {
  return !slotRequest.excludedInstances.includes(target.instanceId);
}

/** A first attempt that is not urgent may try a target that failed before. */
function isFitForProbe(slotRequest: OwnerSlotRequest): boolean {
  return slotRequest.urgency === "normal" && slotRequest.excludedInstances.length === 0;
}
